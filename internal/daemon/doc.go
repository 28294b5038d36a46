// Package daemon assembles the components of an entry, serves its three listening addresses, and shuts it down gracefully.
package daemon

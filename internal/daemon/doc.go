// Package daemon wires the parts of an entry together and runs them until a planned stop.
package daemon

// Package choice describes the routing decision for one call.
package choice

// Package fleet runs the store, upstreams and entries of a soak on loopback, and injects faults into them.
package fleet

// Package relay forwards TCP connections on loopback and injects faults into them.
package relay

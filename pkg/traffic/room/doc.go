// Package room estimates how many more calls the upstreams of a service have room for, which entries share without seeing
// each other.
package room

// Package demo runs a whole fleet on loopback: a store, upstreams, entries and callers.
package demo

// Package demo runs a store, upstreams, entries and callers on loopback, and checks what the callers got.
package demo

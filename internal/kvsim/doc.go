// Package kvsim simulates the platform's key-value store in memory, with faults on demand.
package kvsim

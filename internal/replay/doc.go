// Package replay simulates entries, upstreams, a store and callers, and checks the outcome against the bounds of a trace.
//
// The simulation runs the production code for control, routing and idempotency key claims in a single goroutine on a
// virtual clock. A trace includes the seed of all random numbers, so it gives the same result each time.
package replay

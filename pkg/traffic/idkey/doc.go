// Package idkey claims idempotency keys in the store, many in one compare-and-swap.
package idkey

// Package idkey commits claims of idempotency keys in groups, under compare-and-swap.
package idkey

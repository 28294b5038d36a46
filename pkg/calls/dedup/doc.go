// Package dedup describes the outcome of claiming an idempotency key.
package dedup

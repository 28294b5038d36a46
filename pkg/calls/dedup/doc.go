// Package dedup defines the results of claiming an idempotency key.
package dedup

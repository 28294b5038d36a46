// Package grant describes the outcome of claiming an idempotency key.
package grant

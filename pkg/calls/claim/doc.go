// Package claim describes the claim of an idempotency key.
package claim

// Package claims claims idempotency keys of calls in the platform's key-value store.
package claims

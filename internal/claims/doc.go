// Package claims claims idempotency keys in the platform's service.
package claims

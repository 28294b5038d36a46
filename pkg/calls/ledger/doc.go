// Package ledger defines the stored claims of a bucket of idempotency keys.
package ledger

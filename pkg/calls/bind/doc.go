// Package bind binds an idempotency key to the request that it was first used for.
package bind

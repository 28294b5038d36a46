// Package store is the client of the platform's key-value store.
package store

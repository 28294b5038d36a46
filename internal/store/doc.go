// Package store calls the platform's key-value service.
package store

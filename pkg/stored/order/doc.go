// Package order describes a call to the store.
package order

// Package item holds one key of the store with its value.
package item

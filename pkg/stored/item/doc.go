// Package item defines a key of the store with its value.
package item

// Package keys builds the names of the keys in the store.
package keys

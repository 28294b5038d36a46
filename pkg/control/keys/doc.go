// Package keys names the keys of the store.
package keys

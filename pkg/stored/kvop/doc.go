// Package kvop defines the operations that entries request from the store.
package kvop

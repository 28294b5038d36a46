// Package kvop defines the operations that control requests from the store.
package kvop

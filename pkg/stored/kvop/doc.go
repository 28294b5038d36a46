// Package kvop names the calls that control makes to the store.
package kvop

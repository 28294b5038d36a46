// Package kvreq describes a call to the store.
package kvreq

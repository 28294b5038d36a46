// Package kvreq defines a request to the store.
package kvreq

// Package kvresp defines the outcome of a request to the store.
package kvresp

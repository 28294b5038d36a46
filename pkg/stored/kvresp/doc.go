// Package kvresp describes the outcome of a store call.
package kvresp

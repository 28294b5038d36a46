// Package kvrepl keeps an entry's replica of the control keys in the store. The revision of a replica never falls.
package kvrepl

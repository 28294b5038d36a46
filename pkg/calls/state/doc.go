// Package state names how far a claimed call has come.
package state

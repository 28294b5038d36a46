// Package reply describes the outcome of a store call.
package reply

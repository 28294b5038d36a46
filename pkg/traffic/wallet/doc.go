// Package wallet holds the credits of an entry for one cold upstream.
package wallet

// Package eras tracks the era of the store, which rises each time the store is restored from an older copy.
package eras

// Package member defines the record that a running entry keeps in the store.
package member

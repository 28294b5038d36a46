// Package revno defines the revisions of the store.
package revno

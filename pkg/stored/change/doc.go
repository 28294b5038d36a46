// Package change describes a run of changes in the store.
package change

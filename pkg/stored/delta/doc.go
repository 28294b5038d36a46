// Package delta describes a run of changes in the store.
package delta

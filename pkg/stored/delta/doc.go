// Package delta defines a range of changes in the store.
package delta

// Package snap holds the immutable configuration that traffic reads.
package snap

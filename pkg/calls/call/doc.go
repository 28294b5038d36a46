// Package call describes one call of a caller.
package call

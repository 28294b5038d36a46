// Package poison remembers the fingerprints of calls that crash upstreams.
package poison

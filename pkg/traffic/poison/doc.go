// Package poison tracks the fingerprints of calls that crash upstreams.
package poison

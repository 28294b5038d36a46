// Package counts counts the calls that upstreams began to run, by client account and window.
package counts

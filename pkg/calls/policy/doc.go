// Package policy names the ways to choose among upstreams.
package policy

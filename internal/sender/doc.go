// Package sender sends attempts to upstreams.
package sender

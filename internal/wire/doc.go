// Package wire names the HTTP headers between callers, entries and upstreams, and encodes and parses their values.
package wire

// Package wire names the headers between callers, entries and upstreams, and codes their values.
package wire

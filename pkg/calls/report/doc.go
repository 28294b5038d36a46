// Package report describes the load report of an upstream.
package report

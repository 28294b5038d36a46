// Package proxy serves callers over HTTP: it drives the flow of each call and sends its attempts to upstreams.
package proxy

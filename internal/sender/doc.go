// Package sender sends attempts and probes to upstreams over HTTP/1.1.
package sender

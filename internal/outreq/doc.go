// Package outreq describes a request to an upstream.
package outreq

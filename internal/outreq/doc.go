// Package outreq describes an outgoing request to an upstream.
package outreq

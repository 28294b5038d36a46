// Package prior makes requests to peers over HTTP/2 without TLS, with prior knowledge that they speak it, and over HTTP/1.1 if they
// do not.
package prior

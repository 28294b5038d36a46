// Package redial provides an HTTP transport for calls to the store and to peers that stops using connections which may
// have gone silent.
package redial

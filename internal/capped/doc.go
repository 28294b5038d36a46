// Package capped bounds what is read of HTTP responses from peers and the store.
package capped

// Package accts finds the client account of a call by its key.
package accts

// Package ports finds free ports on loopback for tests that bind an address later.
package ports

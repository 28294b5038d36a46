// Package ports finds free loopback ports for programs and tests that bind an address later.
package ports

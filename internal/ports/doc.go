// Package ports finds free loopback ports for processes that listen.
package ports

// Package child runs an entry as a child process and observes it from outside.
package child

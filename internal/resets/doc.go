// Package resets keeps a TCP connection that was reset from looking like one that its peer has closed.
package resets

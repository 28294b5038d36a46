// Package step describes what the driver of a call has to do next.
package step

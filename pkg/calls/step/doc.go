// Package step describes what the driver of a call does next.
package step

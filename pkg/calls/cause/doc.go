// Package cause names the ways in which an attempt ends.
package cause

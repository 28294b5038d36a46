// Package value holds any one value that the control keys hold.
package value

// Package kvrepl keeps an entry's replica of the control keys, whose revision only rises.
package kvrepl

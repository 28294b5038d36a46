// Package clock gives the time to everything that needs it.
package clock

// Package stage names the steps of a call.
package stage

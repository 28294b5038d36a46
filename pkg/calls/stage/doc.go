// Package stage defines the kinds of steps in the processing of a call.
package stage

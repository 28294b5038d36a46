// Package flow takes one call from its arrival to its outcome.
package flow

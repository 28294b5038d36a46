// Package backof paces tries after failures.
package backof

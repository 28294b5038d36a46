// Package stmt describes what an upstream says of itself in an answer, beside its load.
package stmt

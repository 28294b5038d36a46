// Package cause defines how an attempt can end.
package cause

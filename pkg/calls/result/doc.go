// Package result describes the result of one attempt.
package result

// Package circ provides a circuit breaker that keeps calls away from a failing upstream.
package circ

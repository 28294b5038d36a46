// Package circ keeps traffic from an upstream that fails.
package circ

// Package choice describes one routing decision.
package choice

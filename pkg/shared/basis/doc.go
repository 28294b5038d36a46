// Package basis names the configuration that a decision is based on.
package basis

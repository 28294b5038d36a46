// Package outcom sums up what a demo saw.
package outcom

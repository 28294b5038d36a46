// Package stats sums up what a demo saw.
package stats

// Package stats holds the summary of a demo run and prints it.
package stats

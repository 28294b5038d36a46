// Package logs writes the structured log of an entry.
package logs

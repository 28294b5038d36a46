// Package logs writes the structured log of an entry as JSON lines.
package logs

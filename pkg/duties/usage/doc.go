// Package usage defines the counts of calls of one window.
package usage

// Package status describes what is in force on an entry.
package status

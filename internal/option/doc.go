// Package option reads the settings of an entry.
package option

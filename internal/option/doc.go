// Package option reads and checks the settings file of an entry.
package option

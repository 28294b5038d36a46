// Package event describes what happens to control.
package event

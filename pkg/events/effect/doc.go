// Package effect describes what control wants done.
package effect

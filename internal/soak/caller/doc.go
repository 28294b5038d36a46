// Package caller makes the calls of a soak, by callers of several habits, and records what they see.
package caller

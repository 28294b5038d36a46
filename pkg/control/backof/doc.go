// Package backof spaces out attempts after failures by exponential backoff with jitter.
package backof

// Package queue orders the calls that wait for an upstream.
package queue

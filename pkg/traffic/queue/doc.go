// Package queue orders the calls that wait for an upstream, by class and fairly between callers.
package queue

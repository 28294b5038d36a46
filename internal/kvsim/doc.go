// Package kvsim stands in for the platform's key-value service.
package kvsim

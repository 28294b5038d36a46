// Package memory bounds the memory that calls hold.
package memory

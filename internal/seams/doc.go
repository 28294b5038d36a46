// Package seams defines the function fields through which an entry reaches its store and reads headers.
package seams

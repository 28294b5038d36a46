// Package topic names what entries tell each other.
package topic

// Package topic defines what facts can be about.
package topic

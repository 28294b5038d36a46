// Package value holds the decoded value of a control key.
package value

// Package reject defines a stored record that was rejected as invalid.
package reject

// Package reject defines a stored record that was rejected.
package reject

// Package rules finds the routing rule for a call by its host and path.
package rules

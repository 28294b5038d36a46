// Package rules finds the routing rule for a call.
package rules

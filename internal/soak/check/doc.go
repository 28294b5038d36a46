// Package check finds the broken promises in the record of a soak.
package check

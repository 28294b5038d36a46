// Package reason names why a routing decision came out as it did.
package reason

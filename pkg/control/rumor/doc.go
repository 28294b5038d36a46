// Package rumor keeps the facts that entries tell each other.
package rumor

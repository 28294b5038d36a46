// Package fact describes short-lived news that entries tell each other.
package fact

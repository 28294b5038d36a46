// Package fact defines the short-lived news that entries gossip.
package fact

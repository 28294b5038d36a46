// Package gossip keeps the facts that entries tell each other.
package gossip

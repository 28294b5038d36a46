// Package gossip keeps the facts that entries exchange with their peers.
package gossip

// Package digest defines the message that entries exchange when they gossip.
package digest

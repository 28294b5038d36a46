// Package ack defines the answer to counts that an entry hands over.
package ack

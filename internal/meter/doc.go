// Package meter counts the bytes that entries send to each other, as they are on their connections.
package meter

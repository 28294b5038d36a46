// Package split defines the share of a routing rule's calls that one service gets.
package split

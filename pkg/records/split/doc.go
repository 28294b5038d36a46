// Package split describes the part of a rule's calls that one service gets.
package split

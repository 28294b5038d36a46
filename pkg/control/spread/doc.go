// Package spread decides which members of a fleet exchange with which others.
package spread

// Package seat defines how far an entry is on the way to hold a duty.
package seat

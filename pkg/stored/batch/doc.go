// Package batch holds the records that one key of the store puts in force together.
package batch

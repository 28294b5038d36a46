// Package ledger decides what is reported for each window of usage, and when.
package ledger

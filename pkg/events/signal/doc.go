// Package signal names the kinds of events that control takes.
package signal

// Package evkind names the kinds of events that control takes.
package evkind

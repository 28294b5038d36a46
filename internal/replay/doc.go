// Package replay runs traces of calls and faults against the decisions, on a clock of its own.
package replay

// Package class defines the scheduling classes of calls.
package class

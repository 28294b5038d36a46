// Package decis defines what is decided about usage reports before they are sent.
package decis

// Package tally counts the outcomes of calls to one upstream.
package tally

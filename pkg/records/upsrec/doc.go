// Package upsrec defines the configuration record of an upstream.
package upsrec

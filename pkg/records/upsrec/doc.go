// Package upsrec describes an upstream as operators write it.
package upsrec

// Package domrec describes a failure domain as operators write it.
package domrec

// Package rolrec describes a planned version move as operators write it.
package rolrec

// Package rulrec describes a routing rule as operators write it.
package rulrec

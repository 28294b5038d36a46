// Package movrec describes a planned version move as operators write it.
package movrec

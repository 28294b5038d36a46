// Package lease renews an entry's lease in the store and writes its member key under it.
package lease

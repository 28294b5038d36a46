// Package lease keeps an entry's lease and member key alive in the store.
package lease

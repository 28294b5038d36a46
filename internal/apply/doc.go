// Package apply writes operators' records to the store.
package apply

// Package batch holds records that one item of the store brings into force together.
package batch

// Package feed follows the control keys of the store by listing and watching.
package feed

// Package watch follows the control keys of the store by listing and watching.
package watch

// Package watch follows changes of the control keys in the store by list and watch requests.
package watch

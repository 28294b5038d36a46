// Package answer defines a saved response that can be replayed.
package answer

// Package bounds describes what callers may send, as operators write it.
package bounds

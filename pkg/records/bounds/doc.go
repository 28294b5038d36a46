// Package bounds defines the limits that operators set on what callers may send.
package bounds

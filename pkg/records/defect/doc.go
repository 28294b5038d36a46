// Package defect defines a part of a stored record that cannot be read.
package defect

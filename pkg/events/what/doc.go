// Package what names the placement decisions that are logged.
package what

// Package member describes a running entry.
package member

// Package xkind defines what messages between entries are about.
package xkind

// Package outcom says what a caller can know of its call.
package outcom

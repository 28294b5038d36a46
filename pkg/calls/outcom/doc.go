// Package outcom defines what a caller can know about the execution of its call.
package outcom

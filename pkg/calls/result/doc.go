// Package result describes how one attempt ended.
package result

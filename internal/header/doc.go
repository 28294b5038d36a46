// Package header translates between HTTP headers and the call data that routing and retry decisions use.
package header

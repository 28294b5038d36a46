// Package reqlog writes the requests that the upstream of a test gets, so that a failure tells who sent one too many.
package reqlog

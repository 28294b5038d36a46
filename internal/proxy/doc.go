// Package proxy serves callers over HTTP by driving a flow for each call.
package proxy

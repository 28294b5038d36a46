// Package logmsg defines the content of a log line about a placement decision.
package logmsg

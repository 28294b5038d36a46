// Package logmsg describes a placement decision for the log.
package logmsg

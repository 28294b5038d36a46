// Package turns divides a limit on calls among the entries by time, without messages between them.
package turns

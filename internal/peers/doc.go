// Package peers implements the server and the client of the protocol between entries.
package peers

// Package digest describes what entries tell each other in one message.
package digest

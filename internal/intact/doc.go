// Package intact refuses responses that no recipient of HTTP may take for an answer.
package intact

// Package codec turns generated messages into the types of the decisions, and back.
package codec

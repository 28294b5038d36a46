// Package demand describes a request for credits.
package demand

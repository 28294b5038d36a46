// Package ask describes a request for credits.
package ask

// Package retry says which calls may be sent again.
package retry

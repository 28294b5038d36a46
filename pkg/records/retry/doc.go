// Package retry defines which calls may be sent again.
package retry

// Package repeat says which calls may be sent again.
package repeat

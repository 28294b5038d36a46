// Package note describes a placement decision for the log.
package note

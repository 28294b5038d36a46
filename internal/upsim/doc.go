// Package upsim simulates an upstream whose faults are switched on by its user.
package upsim

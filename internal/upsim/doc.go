// Package upsim stands in for an upstream, with faults on demand.
package upsim

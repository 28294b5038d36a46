// Package tally counts what the traffic side saw of one version.
package tally

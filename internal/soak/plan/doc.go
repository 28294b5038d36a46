// Package plan draws the faults of a soak from a seed, and reads and writes them as TOML.
package plan

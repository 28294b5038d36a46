// Package probe decides when an entry probes an upstream, within a budget of probes a second.
package probe

// Package probe spends the measuring budget of upstreams.
package probe

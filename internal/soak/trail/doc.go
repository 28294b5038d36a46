// Package trail records what callers, upstreams and the operating system saw during a soak.
package trail

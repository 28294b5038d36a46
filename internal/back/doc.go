// Package back sends attempts to upstreams.
package back

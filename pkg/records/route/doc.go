// Package route defines per-path settings of a service.
package route

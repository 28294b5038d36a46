// Package share describes how the calls of a service are split among versions.
package share

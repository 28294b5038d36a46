// Package share weighs the versions of a service.
package share

// Package route describes path prefixes of a service that have rules of their own.
package route

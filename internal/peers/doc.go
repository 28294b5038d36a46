// Package peers serves and calls the service between entries.
package peers

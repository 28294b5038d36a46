// Package flight keeps the calls that an entry is serving, to report those that a planned stop cuts.
package flight

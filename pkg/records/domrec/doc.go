// Package domrec defines the configuration record that operators write for a failure domain.
package domrec

// Package rulrec defines the configuration record that operators write for a routing rule.
package rulrec

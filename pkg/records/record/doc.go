// Package record holds any one record that operators write.
package record

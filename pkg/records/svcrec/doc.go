// Package svcrec defines the configuration record that operators write for a service.
package svcrec

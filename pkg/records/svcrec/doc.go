// Package svcrec describes a service as operators write it.
package svcrec

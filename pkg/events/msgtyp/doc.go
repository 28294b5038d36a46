// Package msgtyp defines the types of placement decisions that are logged.
package msgtyp

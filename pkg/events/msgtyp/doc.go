// Package msgtyp names the placement decisions that are logged.
package msgtyp

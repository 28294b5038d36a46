// Package quant sums up a distribution of times.
package quant

// Package quant summarizes distributions of latencies by their quantiles.
package quant

package split

import (
	"math"
	"slices"
)

// maxTotal is the largest sum of the weights that Weights returns.
const maxTotal = 1 << 30

// Weights returns whole weights in the proportions of shares, which have to be finite and not negative. Whole shares whose sum is at
// most 2^30 are returned as they are; others are scaled to that sum, so that each weight is within 1 of its proportion.
func Weights(shares []float64) []int {
	out := make([]int, len(shares))
	if len(shares) == 0 || slices.Max(shares) == 0 {
		return out
	}
	scale, largest := 1.0, 1.0
	if !areWeights(shares) {
		// Divided by the largest first, shares near the largest float64 have a finite sum.
		largest = slices.Max(shares)
		total := 0.0
		for _, s := range shares {
			total += s / largest
		}
		scale = maxTotal / total
	}
	for i, s := range shares {
		out[i] = int(math.Round(s / largest * scale))
	}
	return out
}

// areWeights reports whether shares are whole and have a sum of at most maxTotal.
func areWeights(shares []float64) bool {
	total := 0.0
	for _, s := range shares {
		if total += s; s != math.Trunc(s) {
			return false
		}
	}
	return total <= maxTotal
}

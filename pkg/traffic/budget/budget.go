package budget

// Budget is a token bucket: each call adds a fraction of a token and each retry takes one.
//
// It is not safe for concurrent use; its owner locks it.
type Budget struct {
	tokens float64
	burst  float64
	// burstSet is set by the first SetBurst with a positive burst.
	burstSet bool
}

// New returns a full budget that holds up to burst retries.
func New(burst int) *Budget {
	return &Budget{tokens: float64(burst), burst: float64(burst)}
}

// SetBurst sets the number of retries that the budget can hold; values below 1 are ignored.
//
// The first call with a burst that is not ignored also empties the budget.
func (b *Budget) SetBurst(burst int) {
	if burst <= 0 {
		return
	}
	if !b.burstSet {
		// Entries that start together must not hold more retries than the whole fleet may spend.
		b.burstSet, b.tokens = true, 0
	}
	b.burst = float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// Deposit adds the share of a retry that one call earns, in percent.
func (b *Budget) Deposit(percent int) {
	b.tokens = min(b.burst, b.tokens+float64(percent)/100)
}

// Withdraw takes one retry and reports whether one was left.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

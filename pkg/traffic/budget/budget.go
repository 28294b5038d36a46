package budget

// Budget is a token bucket that calls fill and retries empty; the owner locks it.
type Budget struct {
	tokens   float64
	burst    float64
	burstSet bool
}

// New returns a full budget that saves up to burst retries.
func New(burst int) *Budget {
	return &Budget{tokens: float64(burst), burst: float64(burst)}
}

// SetBurst sets the number of retries that may be saved up; 0 leaves it.
func (b *Budget) SetBurst(burst int) {
	if burst <= 0 {
		return
	}
	if !b.burstSet {
		// Entries that start together must not begin with more than their fleet may spend.
		b.burstSet, b.tokens = true, 0
	}
	b.burst = float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// Deposit adds one call's worth of retries at a rate in percent.
func (b *Budget) Deposit(percent int) {
	b.tokens = min(b.burst, b.tokens+float64(percent)/100)
}

// Withdraw takes one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

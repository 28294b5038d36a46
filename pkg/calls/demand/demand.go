package demand

// Demand is an entry's request for credits of a cold upstream.
type Demand struct {
	From     string
	Service  string
	Upstream string
	Boot     uint64
	Want     int
	// Back lists the credits whose calls have ended.
	Back []uint64
}

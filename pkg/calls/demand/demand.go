package demand

// Demand is an entry's request for credits of a cold upstream.
type Demand struct {
	From        string
	Service     string
	Upstream    string
	Incarnation uint64
	Want        int
	// Returned lists the credits whose calls have ended.
	Returned []uint64
}

package demand

// Demand is an entry's request for credits for a cold upstream, and its return of credits.
type Demand struct {
	// From is the name of the requesting entry.
	From     string
	Service  string
	Upstream string
	// Incarnation identifies the start of the upstream that the credits are for.
	Incarnation uint64
	// Want is the number of credits requested.
	Want int
	// Returned lists the IDs of credits that are no longer in use.
	Returned []uint64
}

package seat

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Seat -linecomment

// Seat is what an entry does about a duty.
type Seat int

// Values of Seat, in the order in which an entry comes to hold a duty.
const (
	// Idle means that the entry does not hold the duty and asks for nothing.
	Idle Seat = iota // idle
	// Looking means that it reads who holds the duty.
	Looking // looking
	// Leasing means that it asks for a lease.
	Leasing // leasing
	// Claiming means that it writes its name under the lease.
	Claiming // claiming
	// Loading means that it reads the state of the duty.
	Loading // loading
	// Taking means that it writes itself into the state, which gives it a token.
	Taking // taking
	// Holding means that it holds the duty.
	Holding // holding
	// Checking means that it holds the duty, and reads whether a write of the state was applied.
	Checking // checking
	// Leaving means that it removes its name, so that another entry can take the duty at once.
	Leaving // leaving
)

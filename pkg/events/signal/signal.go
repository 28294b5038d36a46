package signal

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Signal -linecomment

// Signal is the kind of an event.
type Signal int

// Values of Signal.
const (
	// Tick says that time has passed.
	Tick Signal = iota // tick
	// Reply brings the outcome of a store call.
	Reply // reply
	// Heard brings a digest that a peer sent, which waits for an answer.
	Heard // heard
	// Told brings a peer's answer to a digest.
	Told // told
	// Missed says that a peer did not answer.
	Missed // missed
	// Noted brings news from the traffic side.
	Noted // noted
	// Asked brings a peer's request for credits.
	Asked // asked
	// Wanted brings the traffic side's need for credits.
	Wanted // wanted
	// Stop begins a planned stop.
	Stop // stop
)

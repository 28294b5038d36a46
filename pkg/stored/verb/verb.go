package verb

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Verb -linecomment

// Verb is an operation of the store.
type Verb int

// Values of Verb.
const (
	// Get reads one key.
	Get Verb = iota // get
	// Swap writes a key under compare-and-swap.
	Swap // swap
	// List reads the keys under a prefix.
	List // list
	// Watch waits for changes.
	Watch // watch
	// Lease grants or renews a lease.
	Lease // lease
)

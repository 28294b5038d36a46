package kvop

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Op -linecomment

// Op is an operation of the store.
type Op int

// Values of Verb.
const (
	// Get reads one key.
	Get Op = iota // get
	// CompareAndSwap writes a key under compare-and-swap.
	CompareAndSwap // swap
	// List reads the keys under a prefix.
	List // list
	// Watch waits for changes.
	Watch // watch
	// Lease grants or renews a lease.
	Lease // lease
)

package kvop

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Op -linecomment

// Op is an operation on the store.
type Op int

// The operations on the store.
const (
	// Get reads one key.
	Get Op = iota // get
	// CompareAndSwap writes or removes one key if its revision is the expected one.
	CompareAndSwap // swap
	// List reads the keys under a prefix, in one or more pages.
	List // list
	// Watch waits for changes under a prefix.
	Watch // watch
	// Lease grants or renews a lease.
	Lease // lease
)

package retry

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Policy -linecomment

// Policy decides whether a call may be sent again.
type Policy int

// The retry policies; their numbers are those of the enum Repeat in the schema.
const (
	// ByMethod allows it for the request methods that HTTP defines as idempotent.
	ByMethod Policy = iota // method
	// Always allows it for every call.
	Always // always
	// Never forbids it for every call.
	Never // never
)

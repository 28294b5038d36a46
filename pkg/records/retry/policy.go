package retry

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Policy -linecomment

// Policy decides whether a call may be sent again.
type Policy int

// The retry policies; their numbers are those of the enums Again and Repeat in the schema.
const (
	// ByMethod allows sending a call again if HTTP defines its request method as idempotent.
	ByMethod Policy = iota // method
	// Always allows it for every call.
	Always // always
	// Never forbids it for every call.
	Never // never
)

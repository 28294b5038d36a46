package retry

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Policy -linecomment

// Policy is the rule by which a call may be sent again.
type Policy int

// Values of Repeat.
const (
	// ByMethod follows the definition of the request method.
	ByMethod Policy = iota // method
	// Always allows a call to be sent again.
	Always // always
	// Never forbids a call to be sent again.
	Never // never
)

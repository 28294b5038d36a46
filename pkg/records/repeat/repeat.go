package repeat

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Repeat -linecomment

// Repeat is the rule by which a call may be sent again.
type Repeat int

// Values of Repeat.
const (
	// Method follows the definition of the request method.
	Method Repeat = iota // method
	// Always allows a call to be sent again.
	Always // always
	// Never forbids a call to be sent again.
	Never // never
)

package answer

// Answer is a small answer to a call; Status is 0 when none is remembered.
type Answer struct {
	Status int
	// Type is the media type of the body.
	Type string
	Body []byte
}

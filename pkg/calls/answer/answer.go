package answer

// Answer is a small response that was saved for replay.
type Answer struct {
	// Status is the HTTP status code; 0 means that no response was saved.
	Status int
	// Type is the media type of Body.
	Type string
	// Head holds all end-to-end headers and the trailers, encoded; empty in answers that a version without it saved.
	Head []byte
	Body []byte
}

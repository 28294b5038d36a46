package reject

// Reject is a record that did not check, so that an older one stays in force.
type Reject struct {
	Key      string
	Revision int64
	Err      error
}

package tenure

// Tenure is the state of a duty, which outlasts its holders. Each change is made by compare-and-swap, so that a holder that was
// replaced can change nothing.
type Tenure struct {
	// Entry and Incarnation are those of the latest holder.
	Entry       string
	Incarnation uint64
	// Token is the fencing token of the holder. It is 0 in the write in which the holder took the duty: the token is the revision of
	// that write, which the store gives out once.
	Token int64
	// Recent lists the names of the holders before, the latest first.
	Recent []string
	// Work is what the duty has to keep, in an encoding of its own.
	Work []byte
}

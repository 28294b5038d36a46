package usage

// Usage counts the calls that upstreams began to run in one window.
type Usage struct {
	// Window is the number of the window: it begins at that many times the length of a window after the start of 1970.
	Window int64
	// Counts holds the number of calls by the name of the client account; accounts without calls are left out.
	Counts map[string]int64
}

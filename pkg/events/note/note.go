package note

import "github.com/balsamvale/balsamvale/pkg/events/what"

// Note is one placement decision.
type Note struct {
	What    what.What
	Subject string
	Reason  string
	// Share is the part of the calls in thousandths, where the decision set one.
	Share int
}

package logmsg

import "github.com/balsamvale/balsamvale/pkg/events/msgtyp"

// Message is one placement decision.
type Message struct {
	Type    msgtyp.Type
	Subject string
	Reason  string
	// Permille is the part of the calls in thousandths, where the decision set one.
	Permille int
}

package logmsg

import "github.com/balsamvale/balsamvale/pkg/events/msgtyp"

// Message describes one placement decision.
type Message struct {
	Type msgtyp.Type
	// Subject names what the decision concerns, such as a store key, a member, an upstream or a rollout.
	Subject string
	// Reason says why, for operators.
	Reason string
	// Permille is the share of the calls in thousandths that the new version of a rollout gets; 0 for other decisions.
	Permille int
}

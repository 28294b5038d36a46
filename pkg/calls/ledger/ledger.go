package ledger

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/claim"
)

// Ledger is the value of a key of the store that holds many claims.
type Ledger struct {
	Claims []claim.Claim
	// Era is the era of the store in which the value was written. If the store is in a later one, it came back from an older copy
	// since, and may have lost claims.
	Era int64
	// DoubtUntil is until when claims that the store lost before Era may still count.
	DoubtUntil time.Time
}

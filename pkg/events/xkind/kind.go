package xkind

import (
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/topic"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Kind -linecomment

// Kind is what a request to a peer is about; its answer counts as of the same kind.
type Kind int

// The kinds of requests to peers.
const (
	// Other is what belongs to no request, such as the beginning of a connection.
	Other Kind = iota // other
	// Regular is a digest with neither facts nor changes.
	Regular // regular
	// Fetch is a digest that asks for large changes.
	Fetch // fetch
	// Changes is a digest with changes of the store, or an offer of them.
	Changes // changes
	// Facts is a digest with facts but no changes.
	Facts // facts
	// Evidence is a digest with the evidence about a new version.
	Evidence // evidence
	// Credits is a request for credits.
	Credits // credits
	// Status is a request for the status of an entry.
	Status // status
)

// Of returns the kind of a digest that is a request.
func Of(d digest.Digest) Kind {
	switch {
	case d.Delta.Revision > 0 || d.Offer:
		return Changes
	case len(d.Facts) > 0 && d.Facts[0].Topic == topic.Evidence:
		return Evidence
	case len(d.Facts) > 0:
		return Facts
	case !d.Brief:
		return Fetch
	}
	return Regular
}

package hold

/*
 Look --> Looking --no holder--> Leasing --> Claiming --> Loading --> Taking --> Holding --Yield--> Leaving --> Idle
             |                                  |                                  |  ^
             +--another holds it--> Idle <------+          a write without answer  v  |
                                                                              Checking

The holder's name is a key under a lease, so that it goes with a holder that dies. The state of the duty is a key that stays. A new
holder changes it by compare-and-swap before it acts, and the revision of that change is its fencing token. The store gives out no
revision twice, and all later ones are higher: after it was restored from an older copy, the era in the high bits is. A holder that
was replaced can no longer change the state.
*/

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/control/backof"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/duties/seat"
	"github.com/balsamvale/balsamvale/pkg/duties/tenure"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/owner"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// Hold is what one entry does about one duty. It issues one request to the store at a time.
//
// It is not safe for concurrent use.
type Hold struct {
	// Decode decodes the items of duties.
	Decode func(item.Item) (value.Value, error)

	self member.Member
	duty string
	// ttl is the lifetime of the lease.
	ttl     time.Duration
	rand    *rand.Rand
	backoff backof.Backoff

	seat seat.Seat
	// holder is the entry that was last seen to hold the duty; nil while none is known.
	holder *owner.Owner
	// lookAt is when an idle entry reads who holds the duty; zero for never.
	lookAt time.Time
	// notBefore is when this entry may take the duty again; stopped is set if it never may.
	notBefore time.Time
	stopped   bool

	// pendingID is the ID of the request that awaits its response, or 0; pendingAt is when it was issued, pendingSeat for which seat,
	// and renewing is set if it renews the lease.
	pendingID   uint64
	pendingAt   time.Time
	pendingSeat seat.Seat
	renewing    bool

	leaseID int64
	// leaseEra is the era of the store that granted the lease.
	leaseEra int64
	// renewedAt is when the request was issued that granted or renewed the lease.
	renewedAt time.Time
	// holderRevision and stateRevision are the revisions of both keys as this entry read or wrote them.
	holderRevision revno.Revision
	stateRevision  revno.Revision
	// state is the stored state, as this entry read or wrote it.
	state tenure.Tenure
	// taking is the state that this entry writes to take the duty.
	taking tenure.Tenure
	token  int64
	// takenAt is when this entry took the duty, and actAt is from when it may act.
	takenAt time.Time
	actAt   time.Time
	// proposed is the work to write; nil for none.
	proposed []byte
	// written counts the writes of work that were applied.
	written int
}

// New returns the hold of the entry self on a duty whose lease lives for ttl.
func New(self member.Member, duty string, ttl time.Duration, rnd *rand.Rand) *Hold {
	return &Hold{self: self, duty: duty, ttl: ttl, rand: rnd}
}

// validPart is the part of the lifetime of the lease for which its holder acts, and renewPart the part after which it renews it. The
// rest is for a call on its way and for clocks that run apart.
const (
	validPart = 0.8
	renewPart = 0.25
)

// maxRecent is the number of earlier holders that are kept.
const maxRecent = 8

// Seat returns what the entry does about the duty.
func (h *Hold) Seat() seat.Seat { return h.seat }

// Holder returns the entry that was last seen to hold the duty, or nil if none is known.
func (h *Hold) Holder() *owner.Owner { return h.holder }

// Look makes the entry read at a time who holds the duty, and take it if nobody does. An earlier time that is set already stays.
func (h *Hold) Look(at time.Time) {
	if h.seat == seat.Idle && (h.lookAt.IsZero() || at.Before(h.lookAt)) {
		h.lookAt = at
	}
}

// Forget forgets the known holder, which did not answer or does not hold the duty.
func (h *Hold) Forget() { h.holder = nil }

// Held reports whether the entry holds the duty and its lease is valid. It may not act before Token allows it.
func (h *Hold) Held(now time.Time) bool {
	return (h.seat == seat.Holding || h.seat == seat.Checking) && clock.Elapsed(now, h.renewedAt) < h.valid()
}

// valid returns the time after its renewal for which the lease is relied upon.
func (h *Hold) valid() time.Duration { return time.Duration(validPart * float64(h.ttl)) }

// Token returns the fencing token, if the entry may act now; it has to stop by until.
func (h *Hold) Token(now time.Time) (token int64, until time.Time, ok bool) {
	return h.token, h.renewedAt.Add(h.valid()), h.Held(now) && !now.Before(h.actAt)
}

// TakenAt returns when the entry took the duty.
func (h *Hold) TakenAt() time.Time { return h.takenAt }

// Work returns what the state keeps for the duty, as this entry last read or wrote it.
func (h *Hold) Work() []byte { return h.state.Work }

// Written returns the number of proposals that were applied.
func (h *Hold) Written() int { return h.written }

// Propose makes the holder write the work of the duty. Until it is written, further proposals are ignored: it reports false.
func (h *Hold) Propose(work []byte) bool {
	if h.proposed != nil || h.seat != seat.Holding {
		return false
	}
	h.proposed = work
	return true
}

// Yield gives up the duty, so that another entry can take it at once. This entry does not take it again for the lifetime of a
// lease, or never if final is set.
func (h *Hold) Yield(now time.Time, final bool) {
	h.stopped = h.stopped || final
	h.notBefore = now.Add(h.ttl)
	switch h.seat {
	case seat.Loading, seat.Taking, seat.Holding, seat.Checking:
		h.seat, h.proposed = seat.Leaving, nil
	case seat.Leaving:
	default:
		h.idle()
	}
}

// idle ends what the entry does; a request under way is not waited for.
func (h *Hold) idle() {
	h.seat, h.proposed, h.pendingID, h.lookAt = seat.Idle, nil, 0, time.Time{}
}

// lose ends a hold that is no longer this entry's, or not known to be.
func (h *Hold) lose(now time.Time) {
	h.idle()
	h.holder = nil
	h.lookAt = now
}

// Next returns the request that is due, if there is one.
func (h *Hold) Next(now time.Time, id uint64) (kvreq.Request, bool) {
	if (h.seat == seat.Holding || h.seat == seat.Checking) && clock.Elapsed(now, h.renewedAt) >= h.ttl {
		h.lose(now)
	}
	if h.pendingID != 0 || !h.backoff.Ready(now) {
		return kvreq.Request{}, false
	}
	req, ok := h.request(now)
	if ok {
		req.ID = id
		h.pendingID, h.pendingAt, h.pendingSeat = id, now, h.seat
	}
	return req, ok
}

// request returns the request that the seat calls for.
func (h *Hold) request(now time.Time) (kvreq.Request, bool) {
	h.renewing = false
	switch h.seat {
	case seat.Idle:
		if h.lookAt.IsZero() || now.Before(h.lookAt) {
			return kvreq.Request{}, false
		}
		h.seat, h.lookAt = seat.Looking, time.Time{}
		return kvreq.Request{Op: kvop.Get, Key: keys.Holder(h.duty)}, true
	case seat.Looking:
		return kvreq.Request{Op: kvop.Get, Key: keys.Holder(h.duty)}, true
	case seat.Leasing:
		return kvreq.Request{Op: kvop.Lease, TTL: h.ttl}, true
	case seat.Claiming:
		self := &owner.Owner{Entry: h.self.Name, Incarnation: h.self.Incarnation, Peer: h.self.Peer}
		return kvreq.Request{Op: kvop.CompareAndSwap, Key: keys.Holder(h.duty), Value: value.Value{Owner: self}, ExpectedRevision: h.holderRevision, LeaseID: h.leaseID, LeaseEra: h.leaseEra}, true
	case seat.Loading:
		return kvreq.Request{Op: kvop.Get, Key: keys.Tenure(h.duty)}, true
	case seat.Taking:
		h.taking = h.takeover()
		next := h.taking
		return kvreq.Request{Op: kvop.CompareAndSwap, Key: keys.Tenure(h.duty), Value: value.Value{Tenure: &next}, ExpectedRevision: h.stateRevision}, true
	case seat.Holding, seat.Checking:
		return h.holdingRequest(now)
	case seat.Leaving:
		return kvreq.Request{Op: kvop.CompareAndSwap, Key: keys.Holder(h.duty), Delete: true, ExpectedRevision: h.holderRevision}, true
	}
	return kvreq.Request{}, false
}

// holdingRequest renews the lease, or writes what is proposed and reads whether that was applied.
func (h *Hold) holdingRequest(now time.Time) (kvreq.Request, bool) {
	if clock.Elapsed(now, h.renewedAt) >= time.Duration(renewPart*float64(h.ttl)) {
		h.renewing = true
		return kvreq.Request{Op: kvop.Lease, LeaseID: h.leaseID, LeaseEra: h.leaseEra, TTL: h.ttl}, true
	}
	if h.seat == seat.Checking {
		return kvreq.Request{Op: kvop.Get, Key: keys.Tenure(h.duty)}, true
	}
	if h.proposed == nil {
		return kvreq.Request{}, false
	}
	next := h.state
	next.Token, next.Work = h.token, h.proposed
	return kvreq.Request{Op: kvop.CompareAndSwap, Key: keys.Tenure(h.duty), Value: value.Value{Tenure: &next}, ExpectedRevision: h.stateRevision}, true
}

// takeover returns the state in which this entry is the holder.
func (h *Hold) takeover() tenure.Tenure {
	next := tenure.Tenure{Entry: h.self.Name, Incarnation: h.self.Incarnation, Work: h.state.Work, Recent: h.state.Recent}
	if last := h.state.Entry; last != "" && last != h.self.Name {
		next.Recent = slices.DeleteFunc(slices.Clone(h.state.Recent), func(name string) bool { return name == last })
		next.Recent = slices.Insert(next.Recent, 0, last)
		next.Recent = next.Recent[:min(len(next.Recent), maxRecent)]
	}
	return next
}

// Awaits reports whether the pending request has the given ID.
func (h *Hold) Awaits(id uint64) bool { return h.pendingID != 0 && h.pendingID == id }

// HandleResponse processes the response to the pending request.
func (h *Hold) HandleResponse(now time.Time, resp kvresp.Response) {
	h.pendingID = 0
	if resp.OutcomeUnknown {
		h.backoff.Fail(now, h.rand)
	} else {
		h.backoff.Succeed()
	}
	if h.seat != h.pendingSeat {
		// The duty was given up meanwhile.
		return
	}
	if h.renewing {
		h.renewed(now, resp)
		return
	}
	switch h.seat {
	case seat.Looking:
		h.looked(now, resp)
	case seat.Leasing:
		h.leased(now, resp)
	case seat.Claiming:
		h.claimed(resp)
	case seat.Loading:
		h.loaded(now, resp)
	case seat.Taking:
		h.took(now, resp)
	case seat.Holding:
		h.held(now, resp)
	case seat.Checking:
		h.checked(now, resp)
	case seat.Leaving:
		if !resp.OutcomeUnknown {
			h.idle()
			h.holder = nil
		}
	}
}

// looked handles who holds the duty. Nobody does if the key is missing: the entry takes the duty, if it may.
func (h *Hold) looked(now time.Time, resp kvresp.Response) {
	if resp.OutcomeUnknown || len(resp.Items) == 0 {
		return
	}
	it := resp.Items[0]
	if it.Revision.Number() == 0 {
		h.holder, h.holderRevision = nil, it.Revision
		if h.stopped || now.Before(h.notBefore) {
			h.idle()
			return
		}
		h.seat = seat.Leasing
		return
	}
	v, err := h.Decode(it)
	if err != nil || v.Owner == nil {
		h.idle()
		return
	}
	switch {
	case !h.isSelf(v.Owner.Entry, v.Owner.Incarnation):
		h.idle()
		h.holder = v.Owner
	case h.leaseID != 0 && clock.Elapsed(now, h.renewedAt) < h.ttl/2:
		// The write of the name was applied although its response was lost.
		h.holderRevision, h.seat = it.Revision, seat.Loading
	default:
		// The entry has given the duty up, or has lost sight of its lease: nobody has to wait for the end of that.
		h.holder, h.holderRevision, h.seat = nil, it.Revision, seat.Leaving
	}
}

func (h *Hold) isSelf(name string, incarnation uint64) bool {
	return name == h.self.Name && incarnation == h.self.Incarnation
}

func (h *Hold) leased(now time.Time, resp kvresp.Response) {
	if resp.OutcomeUnknown || !resp.Applied {
		h.lose(now)
		return
	}
	h.leaseID, h.leaseEra, h.renewedAt, h.seat = resp.LeaseID, resp.LeaseEra, h.pendingAt, seat.Claiming
}

func (h *Hold) claimed(resp kvresp.Response) {
	if resp.OutcomeUnknown || !resp.Applied {
		// Another entry was first, or the response was lost.
		h.seat = seat.Looking
		return
	}
	h.holderRevision, h.seat = resp.Revision, seat.Loading
}

// loaded handles the state of the duty. If an earlier write of this entry was applied and its response was lost, the entry takes the
// duty again, with a higher token.
func (h *Hold) loaded(now time.Time, resp kvresp.Response) {
	if clock.Elapsed(now, h.renewedAt) >= h.ttl/2 {
		// Too little is left of the lease to take the duty in time.
		h.seat = seat.Leaving
		return
	}
	if resp.OutcomeUnknown || len(resp.Items) == 0 {
		return
	}
	it := resp.Items[0]
	h.state, h.stateRevision = tenure.Tenure{}, it.Revision
	if it.Revision.Number() != 0 {
		v, err := h.Decode(it)
		if err != nil || v.Tenure == nil {
			// Nothing may be decided without what was decided before.
			h.Yield(now, false)
			return
		}
		h.state = *v.Tenure
	}
	h.seat = seat.Taking
}

func (h *Hold) took(now time.Time, resp kvresp.Response) {
	if resp.OutcomeUnknown || !resp.Applied {
		h.seat = seat.Loading
		return
	}
	h.state = h.taking
	h.begin(now, resp.Revision)
}

// begin begins to hold the duty with the revision at which the state was written. An entry that held the duty before the last holder
// waits for the lifetime of a lease until it acts, so that two holders do not take turns within it.
func (h *Hold) begin(now time.Time, revision revno.Revision) {
	h.token, h.stateRevision, h.takenAt, h.actAt = int64(revision), revision, now, now
	if slices.Contains(h.state.Recent, h.self.Name) {
		h.actAt = now.Add(h.ttl)
	}
	h.seat, h.holder = seat.Holding, nil
}

// renewed handles the renewal of the lease. Without an answer, it is tried again while the entry may act.
func (h *Hold) renewed(now time.Time, resp kvresp.Response) {
	switch {
	case resp.OutcomeUnknown:
	case !resp.Applied:
		h.lose(now)
	default:
		h.renewedAt = h.pendingAt
	}
}

// held handles the write of a proposal.
func (h *Hold) held(now time.Time, resp kvresp.Response) {
	switch {
	case resp.OutcomeUnknown:
		h.seat = seat.Checking
	case !resp.Applied:
		// Another entry has taken the duty.
		h.lose(now)
	default:
		h.wrote(resp.Revision)
	}
}

// wrote records that the proposal was applied at a revision.
func (h *Hold) wrote(revision revno.Revision) {
	h.state.Token, h.state.Work, h.stateRevision, h.proposed = h.token, h.proposed, revision, nil
	h.written++
}

// checked handles the state after a write whose response was lost. If it is as before, the write may still be on its way, but both
// cannot be applied, as they require the same revision.
func (h *Hold) checked(now time.Time, resp kvresp.Response) {
	if resp.OutcomeUnknown || len(resp.Items) == 0 {
		return
	}
	it := resp.Items[0]
	if it.Revision == h.stateRevision {
		h.seat = seat.Holding
		return
	}
	v, err := h.Decode(it)
	if err != nil || v.Tenure == nil || v.Tenure.Token != h.token || !slices.Equal(v.Tenure.Work, h.proposed) {
		h.lose(now)
		return
	}
	h.seat = seat.Holding
	h.wrote(it.Revision)
}

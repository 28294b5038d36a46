package proxy

import (
	"context"
	"maps"
	"time"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/dedup"
	"github.com/balsamvale/balsamvale/pkg/calls/outcom"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// unboundedClaimTTL is the lifetime of the claim of a call without a deadline.
const unboundedClaimTTL = 24 * time.Hour

// claimKey claims the idempotency key by the deadline of the call. A claim that took longer than half of tune.ClaimTTL counts
// as failed.
func (d *callDriver) claimKey() step.Step {
	ctx, until := d.r.Context(), d.now().Add(unboundedClaimTTL)
	if !d.call.Deadline.IsZero() {
		until = d.call.Deadline.Add(tune.ClaimTTL)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, d.call.Deadline)
		defer cancel()
	}
	start := d.now()
	d.claim = claim.Claim{Key: d.call.Key, Binding: d.binding(), Attempt: d.callID(), Until: until}
	var claimed dedup.Result
	claimed, d.held = d.handler.Claim(ctx, d.call.Service, d.claim)
	d.claimed = claimed == dedup.Acquired
	if claimed == dedup.Acquired && d.now().Sub(start) > tune.ClaimTTL/2 {
		claimed = dedup.Unavailable
	}
	return d.flow.Claimed(d.now(), claimed)
}

// binding returns what the claim of the idempotency key is bound to.
func (d *callDriver) binding() bind.Binding {
	headers := d.handler.Headers
	account := headers.Account(d.r)
	if d.call.Account != "" {
		account = accountPrefix + d.call.Account
	}
	return bind.New(account, headers.IdempotencyKey(d.r.Header), d.r.Method, d.r.URL.RequestURI(), d.body, d.buffered)
}

// endClaim records the state and the answer with which a call that holds a claim ended.
func (d *callDriver) endClaim(st state.State, a answer.Answer) {
	d.claim.State, d.claim.Answer = st, a
	d.handler.CompleteClaim(d.call.Service, d.claim)
}

// completeClaim records the outcome of a delivered call under the idempotency key that it has claimed. The outcome is
// unknown if the answer was not delivered and saved in full (whole is false), is too large, or belongs to a streamed request, since a
// repeat of that cannot be told from another request.
func (d *callDriver) completeClaim(ans answer.Answer, whole bool) {
	if !whole || !d.buffered || len(ans.Head)+len(ans.Body) > tune.MaxClaimAnswer {
		d.endClaim(state.Unknown, answer.Answer{})
		return
	}
	d.endClaim(state.Answered, ans)
}

// replay answers the call with the saved response of an earlier call with the same idempotency key.
func (d *callDriver) replay(s step.Step) {
	h, saved := d.w.Header(), &d.held.Answer
	header, trailer, err := codec.DecodeHead(saved)
	if err != nil {
		s.Outcome, s.Reason = outcom.Unknown, reason.Duplicate
		d.refuse(s)
		return
	}
	maps.Copy(h, header)
	for k := range trailer {
		h.Add("Trailer", k)
	}
	d.handler.Headers.SetOutcome(h, outcom.Answered, s.Reason)
	d.closeUnlessBodyRead()
	d.w.WriteHeader(saved.Status)
	_, _ = d.w.Write(saved.Body)
	maps.Copy(h, trailer)
	d.handler.countCall(d.call, outcom.Answered, s.Reason, d.waited)
}

package core

import (
	"context"

	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvresp"
)

// effectTask carries out one effect that needs network I/O; its run method is a goroutine.
type effectTask struct {
	core   *Core
	ctx    context.Context
	effect effect.Effect
}

func (t *effectTask) run() {
	defer t.recoverPanic()
	e := &t.effect
	switch e.Action {
	case action.CallStore:
		t.postResponse(t.core.CallStore(t.ctx, e.Request))
	case action.SendDigest:
		t.sendDigest()
	case action.RequestCredits:
		if credits, err := t.core.RequestCredits(t.ctx, e); err == nil && len(credits) > 0 {
			t.core.deliverCredits(e.Demand, credits)
		}
	case action.ProbeUpstream:
		t.probe()
	}
}

// recoverPanic logs a panic of the task, and tells control that the effect failed.
func (t *effectTask) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	t.core.log.Panic("effect "+t.effect.Action.String(), "", v)
	switch t.effect.Action {
	case action.CallStore:
		t.postResponse(kvresp.Response{ID: t.effect.Request.ID, OutcomeUnknown: true})
	case action.SendDigest:
		t.core.postOrDrop(event.Event{Kind: evkind.PeerUnreachable, Peer: t.effect.Peer, FetchID: t.effect.FetchID})
	}
}

// postResponse queues a store response for control; it is never dropped, since control waits for it.
func (t *effectTask) postResponse(r kvresp.Response) {
	select {
	case t.core.events <- event.Event{Kind: evkind.StoreResponse, Response: r}:
	case <-t.core.done:
	}
}

// sendDigest exchanges digests with a peer and passes the answer, or that there was none, to control.
func (t *effectTask) sendDigest() {
	d, err := t.core.SendDigest(t.ctx, &t.effect)
	if err != nil {
		t.core.postOrDrop(event.Event{Kind: evkind.PeerUnreachable, Peer: t.effect.Peer, FetchID: t.effect.FetchID})
		return
	}
	t.core.postOrDrop(event.Event{Kind: evkind.DigestAnswered, Digest: d, FetchID: t.effect.FetchID})
}

// probe asks an upstream for its load report and records the result in the pool of its service.
func (t *effectTask) probe() {
	svc, p := t.core.Service(t.effect.Service)
	if p == nil {
		return
	}
	path := svc.LoadPath
	if path == "" {
		path = tune.DefaultLoadPath
	}
	r := t.core.Probe(t.ctx, t.effect.Upstream, t.effect.Addr, path)
	p.RecordProbe(t.core.clock.Now(), t.effect.Upstream, &r)
}

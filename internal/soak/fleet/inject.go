package fleet

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/balsamvale/balsamvale/internal/apply"
	"github.com/balsamvale/balsamvale/internal/relay"
	"github.com/balsamvale/balsamvale/internal/soak/caller"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/internal/upsim"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
)

// injection is one fault of the plan; its run method is a goroutine.
type injection struct {
	fleet *Fleet
	fault plan.Fault
	ctx   context.Context
}

// Inject injects the faults of the plan; Wait waits for their end.
func (f *Fleet) Inject(ctx context.Context) {
	for _, x := range f.Plan.Fault {
		f.faults.Add(1)
		go (&injection{f, x, ctx}).run()
	}
}

// Wait waits until all faults have ended.
func (f *Fleet) Wait() { f.faults.Wait() }

// run waits for the begin of the fault and applies it to each of its targets.
func (i *injection) run() {
	defer i.fleet.faults.Done()
	t, stop := i.fleet.Clock.Timer(time.Duration(i.fault.At))
	defer stop()
	select {
	case <-t:
	case <-i.ctx.Done():
		return
	}
	for _, e := range i.entries() {
		i.fleet.faults.Add(1)
		go (&hit{i, e.name, func() func() { return i.hitEntry(e) }}).run()
	}
	for _, u := range i.upstreams() {
		i.fleet.faults.Add(1)
		go (&hit{i, u.Name, func() func() { return i.hitUpstream(u) }}).run()
	}
	if i.fault.Kind.HitsStore() {
		i.fleet.faults.Add(1)
		go (&hit{i, "store", i.hitStore}).run()
	}
	if i.fault.Kind.HitsRecords() {
		i.fleet.faults.Add(1)
		go (&hit{i, "records", i.hitRecords}).run()
	}
}

// hit is a fault at one target; its run method is a goroutine.
type hit struct {
	injection *injection
	subject   string
	// apply begins the fault and returns a function that ends it.
	apply func() func()
}

func (h *hit) run() {
	i, f := h.injection, h.injection.fleet
	defer f.faults.Done()
	d := &trail.Disturbance{What: i.fault.String(), Subject: h.subject, Planned: i.fault.Kind.Planned(), Lasting: i.fault.Kind.Lasting(), Begin: f.Clock.Now()}
	f.Trail.Update(func() { f.Trail.Faults = append(f.Trail.Faults, d) })
	undo := h.apply()
	if i.fault.Lasts > 0 {
		f.sleep(time.Duration(i.fault.Lasts))
	}
	undo()
	end := f.Clock.Now()
	f.Trail.Update(func() { d.End = end })
}

func nothing() {}

// entries returns the entries that the fault hits.
func (i *injection) entries() []*entry {
	if !i.fault.Kind.HitsEntries() {
		return nil
	}
	all := i.fleet.allEntries()
	if !i.fault.Domain {
		return all[i.fault.Target%len(all) : i.fault.Target%len(all)+1]
	}
	var out []*entry
	for _, e := range all {
		if e.domain == i.fault.Target {
			out = append(out, e)
		}
	}
	return out
}

// upstreams returns the upstreams that the fault hits.
func (i *injection) upstreams() []*upstream {
	if !i.fault.Kind.HitsUpstreams() {
		return nil
	}
	all := i.fleet.allUpstreams()
	if !i.fault.Domain {
		return all[i.fault.Target%len(all) : i.fault.Target%len(all)+1]
	}
	var out []*upstream
	for _, u := range all {
		if u.domain == i.fault.Target {
			out = append(out, u)
		}
	}
	return out
}

// hitEntry applies the fault to an entry.
func (i *injection) hitEntry(e *entry) func() {
	switch i.fault.Kind {
	case plan.Stop:
		e.stop()
	case plan.Kill:
		e.kill()
	case plan.Pause:
		e.signal(syscall.SIGSTOP)
		return func() { e.signal(syscall.SIGCONT) }
	case plan.Reload:
		e.signal(syscall.SIGHUP)
	case plan.SilentCallers, plan.ResetCallers, plan.SlowCallers:
		return i.hitRelay(e.callerRelay)
	case plan.SilentStore, plan.ResetStore, plan.SlowStore, plan.OneWayStore:
		return i.hitRelay(e.storeRelay)
	case plan.IdleCallers:
		return i.openIdle(e)
	case plan.FewFiles:
		e.limitFiles(uint64(i.fault.Share))
	case plan.RemoveEntry:
		i.fleet.retire(e)
	case plan.LimitStore:
		e.storeRelay.SetRate(int(i.fault.Share))
	case plan.LimitPeers:
		e.peerRelay.SetRate(int(i.fault.Share))
	}
	return nothing
}

// hitRelay applies the fault to a link.
func (i *injection) hitRelay(r *relay.Relay) func() {
	switch i.fault.Kind {
	case plan.SilentCallers, plan.SilentStore, plan.SilentUpstream:
		r.Silence(i.fault.Share)
	case plan.ResetCallers, plan.ResetStore, plan.ResetUpstream:
		r.Reset(i.fault.Share)
	case plan.SlowCallers, plan.SlowStore, plan.SlowUpstream:
		r.SetDelay(time.Duration(i.fault.Share * float64(time.Second)))
		return func() { r.SetDelay(0) }
	default:
		r.SetDropReplies(true)
		return func() {
			r.SetDropReplies(false)
			// The dropped bytes are missing in the streams that are open.
			r.Reset(1)
		}
	}
	return nothing
}

// openIdle opens idle connections to an entry and closes them at the end of the fault.
func (i *injection) openIdle(e *entry) func() {
	var conns []net.Conn
	for range int(i.fault.Share) {
		t, _ := e.target()
		c, err := net.DialTimeout("tcp", t.Addr.String(), time.Second)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// deliveries are the faults that spoil answers.
var deliveries = map[plan.Kind]upsim.Delivery{
	plan.LoseAnswers: upsim.Lost, plan.CutAnswers: upsim.Cut, plan.DoubleAnswers: upsim.Doubled, plan.GarbleAnswers: upsim.Garbled, plan.FailAnswers: upsim.Failed,
}

// hitUpstream applies the fault to an upstream.
func (i *injection) hitUpstream(u *upstream) func() {
	if d, ok := deliveries[i.fault.Kind]; ok {
		u.spoil(d, i.fault.Share)
		return func() { u.spoil(d, 0) }
	}
	switch i.fault.Kind {
	case plan.Crash:
		u.close()
		return u.restart
	case plan.Leave:
		u.Drain()
		return u.Rejoin
	case plan.SlowAnswers:
		u.Slow(i.fault.Share)
		return func() { u.Slow(1) }
	case plan.Remove:
		return i.remove(u)
	}
	return i.hitRelay(u.relay)
}

// hitStore applies the fault to the store.
func (i *injection) hitStore() func() {
	kv := i.fleet.kv
	switch i.fault.Kind {
	case plan.StoreDown:
		kv.SetDown(true)
		return func() { kv.SetDown(false) }
	case plan.StoreStall:
		kv.SetDelay(time.Duration(i.fault.Share * float64(time.Second)))
		return func() { kv.SetDelay(0) }
	case plan.StoreLoss:
		kv.SetReplyLoss(i.fault.Share)
		return func() { kv.SetReplyLoss(0) }
	case plan.StoreForget:
		kv.ForgetHistory()
	case plan.StoreRestore:
		copied := kv.Copy()
		return func() {
			kv.Restore(copied, lapseTime)
			i.fleet.sleep(writeAgainTime)
			kv.WriteAgain(keys.RecordPrefix)
		}
	case plan.StoreMute:
		kv.SetMuted(true)
		return func() {
			kv.ForgetHistory()
			kv.SetMuted(false)
		}
	}
	return nothing
}

// After the store was restored, operators write again what was lost, and the keys of leases that are gone with it lapse.
const (
	writeAgainTime = 1500 * time.Millisecond
	lapseTime      = 3 * time.Second
)

// hitRecords applies the fault to the records.
func (i *injection) hitRecords() func() {
	switch i.fault.Kind {
	case plan.SharedKeys:
		i.fleet.Crowd.SharedKeys.Store(true)
		return func() { i.fleet.Crowd.SharedKeys.Store(false) }
	case plan.AddEntries:
		return i.addEntries()
	case plan.LateRecords:
		i.fleet.load(i.fleet.domainText)
		return func() { i.fleet.load(i.fleet.serviceText) }
	case plan.GrowRecords, plan.SwellRecords:
		i.growRecords()
		return nothing
	case plan.DrainDomain:
		return i.drainDomain(i.fault.Target % domainCount)
	case plan.DropService:
		return i.dropService(Services[i.fault.Target%len(Services)])
	}
	i.rollOut(Services[i.fault.Target%len(Services)])
	return nothing
}

// claim reports whether no other fault has changed a record; release ends the claim.
func (f *Fleet) claim(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changing[name] {
		return false
	}
	f.changing[name] = true
	return true
}

func (f *Fleet) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.changing, name)
}

// applyTries bounds how often a change of records is tried while the store fails.
const applyTries = 200

// change tries a change of records until the store has acknowledged it, and reports whether it did.
func (f *Fleet) change(try func() error) bool {
	for range applyTries {
		if try() == nil {
			return true
		}
		f.sleep(pollInterval)
	}
	return false
}

func (f *Fleet) apply(text string) bool {
	return f.change(func() error {
		_, err := apply.Text(context.Background(), f.client, text)
		return err
	})
}

func (f *Fleet) drop(kind, name string) bool {
	return f.change(func() error { return apply.Remove(context.Background(), f.client, kind, name) })
}

// recordRemoval records that upstreams are out of the configuration, and returns a function that records their return.
func (f *Fleet) recordRemoval(bound time.Duration, upstreams ...*upstream) func() {
	now := f.Clock.Now()
	var removals []*trail.Removal
	for _, u := range upstreams {
		removals = append(removals, &trail.Removal{Upstream: u.Name, Acknowledged: now, Bound: bound})
	}
	f.Trail.Update(func() { f.Trail.Removals = append(f.Trail.Removals, removals...) })
	return func() {
		now := f.Clock.Now()
		f.Trail.Update(func() {
			for _, r := range removals {
				r.Restored = now
			}
		})
	}
}

// remove removes the record of an upstream.
func (i *injection) remove(u *upstream) func() {
	f := i.fleet
	if !f.claim(u.Name) {
		return nothing
	}
	restored := nothing
	if f.drop("upstream", u.Name) {
		restored = f.recordRemoval(drainBound, u)
	}
	return func() {
		defer f.release(u.Name)
		restored()
		f.apply(u.record())
	}
}

// drainDomain drains a failure domain.
func (i *injection) drainDomain(domain int) func() {
	f := i.fleet
	if !f.claim(domainName(domain)) {
		return nothing
	}
	restored := nothing
	if f.apply(domainTOML(domain, true)) {
		var in []*upstream
		for _, u := range f.allUpstreams() {
			if u.domain == domain {
				in = append(in, u)
			}
		}
		restored = f.recordRemoval(evacuationBound, in...)
	}
	return func() {
		defer f.release(domainName(domain))
		restored()
		f.apply(domainTOML(domain, false))
	}
}

// dropService removes the record of a service.
func (i *injection) dropService(s caller.Service) func() {
	f := i.fleet
	if !f.claim(s.Name) {
		return nothing
	}
	f.drop("service", s.Name)
	return func() {
		defer f.release(s.Name)
		f.apply(serviceTOML(s))
	}
}

// rolloutTime is the time that a rollout takes.
const rolloutTime = 8 * time.Second

// rollOut moves a service to a new version, once in a soak.
func (i *injection) rollOut(s caller.Service) {
	f := i.fleet
	if !f.claim("rollout of " + s.Name) {
		return
	}
	start := f.Clock.Now().UTC()
	text := fmt.Sprintf("[[move]]\nschema = 1\nname = \"%s-v2\"\nservice = %q\nfrom = \"v1\"\nto = \"v2\"\nstart = %s\ndeadline = %s\n",
		s.Name, s.Name, start.Format(time.RFC3339Nano), start.Add(rolloutTime).Format(time.RFC3339Nano))
	for n := range upstreamsPerService {
		u, err := f.startUpstream(s, fmt.Sprintf("%s-new-%d", s.Name, n+1), "v2", n%domainCount)
		if err != nil {
			return
		}
		text += u.record()
	}
	f.apply(text)
}

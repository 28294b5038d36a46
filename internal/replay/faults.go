package replay

import (
	"fmt"
	"time"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// scheduleFaults schedules the start and the end of each fault in the trace.
func (s *Sim) scheduleFaults() {
	for _, f := range s.trace.GetFault() {
		s.events.after(f.GetAt().AsDuration(), func() { s.startFault(f) })
		if f.GetLast() != nil {
			s.events.after(f.GetAt().AsDuration()+f.GetLast().AsDuration(), func() { s.endFault(f) })
		}
	}
}

// forEachUpstream visits the upstreams that a fault hits: count of them, beginning at index.
func (s *Sim) forEachUpstream(f *pb.Fault, visit func(*upstream)) {
	for i := range f.GetCount() {
		visit(s.upstreams[int(f.GetIndex()+i)%len(s.upstreams)])
	}
}

// forEachEntry visits the entries that a fault hits: count of them, beginning at index.
func (s *Sim) forEachEntry(f *pb.Fault, visit func(*entry)) {
	for i := range f.GetCount() {
		visit(s.entries[int(f.GetIndex()+i)%len(s.entries)])
	}
}

// startFault begins a fault. Faults of entries and of the store are left to startControlFault.
func (s *Sim) startFault(f *pb.Fault) {
	s.log("fault %v", f.GetKind())
	switch f.GetKind() {
	case pb.Fault_SLOW:
		s.forEachUpstream(f, func(u *upstream) { u.slowdown, u.degraded, u.degradedAt = float64(f.GetFactor()), true, s.events.now })
	case pb.Fault_FAST:
		s.forEachUpstream(f, func(u *upstream) { u.failing, u.degraded, u.degradedAt = true, true, s.events.now })
	case pb.Fault_COLD:
		s.forEachUpstream(f, (*upstream).restart)
	case pb.Fault_CRASH:
		s.forEachUpstream(f, (*upstream).crash)
	case pb.Fault_SILENT:
		s.forEachUpstream(f, s.blackhole)
	case pb.Fault_NOISE:
		s.applyNoise(f, s.events.now.Add(f.GetLast().AsDuration()))
	case pb.Fault_LEAVE:
		s.forEachUpstream(f, func(u *upstream) { u.draining, u.drainingAt = true, s.events.now })
	case pb.Fault_OUT:
		s.setDomainDrained(f, true)
	case pb.Fault_LIES:
		s.forEachUpstream(f, func(u *upstream) { u.underreports = true })
	case pb.Fault_BURST:
		s.rateFactor = percentFactor(f)
	case pb.Fault_SHED:
		s.shedFraction = percentFactor(f)
	case pb.Fault_GIVEUP:
		s.abandonFraction = percentFactor(f)
	case pb.Fault_POISON:
		s.sendPoison()
	case pb.Fault_APPLY:
		s.applyRepeatedly(f, f.GetCount())
	default:
		s.startControlFault(f)
	}
}

// percentFactor returns the size of a fault that is given in percent, as a fraction of 1.
func percentFactor(f *pb.Fault) float64 { return float64(f.GetFactor()) / 100 }

// startControlFault begins a fault of entries, of the store, or of the network between them, or makes answers mismatched.
func (s *Sim) startControlFault(f *pb.Fault) {
	switch f.GetKind() {
	case pb.Fault_KILL:
		s.forEachEntry(f, func(e *entry) { e.killed = true })
	case pb.Fault_PAUSE:
		s.forEachEntry(f, func(e *entry) { e.pausedUntil = s.events.now.Add(f.GetLast().AsDuration()) })
	case pb.Fault_THROTTLE:
		s.forEachEntry(f, func(e *entry) { s.throttle(e, f, s.events.now.Add(f.GetLast().AsDuration())) })
	case pb.Fault_STORE:
		s.storage.down = true
	case pb.Fault_RESTORE:
		s.storage.copyStorage()
	case pb.Fault_LOST:
		s.storage.loseReplies = true
	case pb.Fault_SPLIT:
		s.partitioned, s.partitionedAt = true, s.events.now
	case pb.Fault_CUT:
		s.storePartitioned = true
	case pb.Fault_CROSSED:
		s.counters.mismatching = true
	}
}

// endFault ends a fault that has a duration. Faults of the kinds that it leaves out end by themselves or not at all.
func (s *Sim) endFault(f *pb.Fault) {
	switch f.GetKind() {
	case pb.Fault_SLOW:
		s.forEachUpstream(f, func(u *upstream) { u.slowdown = 1 })
	case pb.Fault_FAST:
		s.forEachUpstream(f, func(u *upstream) { u.failing = false })
	case pb.Fault_LIES:
		s.forEachUpstream(f, func(u *upstream) { u.underreports = false })
	case pb.Fault_BURST:
		s.rateFactor = 1
	case pb.Fault_SHED:
		s.shedFraction = 0
	case pb.Fault_GIVEUP:
		s.abandonFraction = 0
	case pb.Fault_OUT:
		s.setDomainDrained(f, false)
	case pb.Fault_KILL:
		s.forEachEntry(f, func(e *entry) { s.startEntry(e.index) })
	case pb.Fault_STORE:
		s.storage.down = false
	case pb.Fault_RESTORE:
		s.storage.restore()
	case pb.Fault_LOST:
		s.storage.loseReplies = false
	case pb.Fault_SPLIT:
		s.partitioned = false
	case pb.Fault_CUT:
		s.storePartitioned = false
	case pb.Fault_CROSSED:
		s.counters.mismatching = false
	}
}

// blackhole makes the open connections to an upstream go silent, so that the attempts in flight on them get no result.
func (s *Sim) blackhole(u *upstream) {
	for _, e := range s.entries {
		e.blackholed[u.index] = true
	}
	for _, a := range append(u.queue, u.active...) {
		a.respond = func(result.Result) {}
	}
}

// applyNoise slows down a random set of upstreams, and draws another set at each interval until the fault ends. The
// last set stays slow after that.
func (s *Sim) applyNoise(f *pb.Fault, until time.Time) {
	if s.events.now.After(until) {
		return
	}
	for _, u := range s.upstreams {
		u.noise = 1
		if s.rand.IntN(100) < noisyPercent {
			u.noise = float64(f.GetFactor())
		}
	}
	s.events.after(f.GetEvery().AsDuration(), func() { s.applyNoise(f, until) })
}

// throttle lets the entry stand still for a part of each period of the fault, until a time. The periods of the entries begin at
// different times.
func (s *Sim) throttle(e *entry, f *pb.Fault, until time.Time) {
	period := f.GetEvery().AsDuration()
	stall := time.Duration(percentFactor(f) * float64(period))
	var repeat func()
	repeat = func() {
		if s.events.now.After(until) || e.killed {
			return
		}
		e.pausedUntil = s.events.now.Add(stall)
		s.events.after(period, repeat)
	}
	s.events.after(time.Duration(s.rand.Int64N(int64(period))), repeat)
}

// noisyPercent is the probability that an upstream has a noisy neighbour, in percent.
const noisyPercent = 15

// setDomainDrained drains or restores a failure domain by writing its record.
//
// The upstreams of a restored domain start cold.
func (s *Sim) setDomainDrained(f *pb.Fault, drained bool) {
	if err := s.apply(domainRecord(int(f.GetIndex()), drained)); err != nil {
		s.log("domain record not written: %v", err)
	}
	for _, u := range s.upstreams {
		if u.domain != int(f.GetIndex()) {
			continue
		}
		if drained {
			u.domainDrainedAt = s.events.now
			continue
		}
		u.domainDrainedAt = time.Time{}
		u.restart()
		// The record announces this cold start, so the entries on both sides of a partition count as knowing of it.
		u.coldKnownAt = [2]time.Time{s.events.now, s.events.now}
	}
}

// sendPoison sends a call that crashes every upstream that runs it.
func (s *Sim) sendPoison() {
	c := &simCall{id: poisonID, caller: "caller-x", poison: true, createdAt: s.events.now}
	s.send(c, s.pickLiveEntry())
}

// poisonID is the ID of the poison call. The IDs of other calls count up from 1.
const poisonID = 1 << 60

// applyRepeatedly writes a record remaining times, at the interval of the fault, with another value each time.
func (s *Sim) applyRepeatedly(f *pb.Fault, remaining uint32) {
	if remaining == 0 {
		return
	}
	text := fmt.Sprintf("[[domain]]\nschema = 1\nname = \"spare\"\nregion = \"one\"\ndelay = \"%dus\"\n", remaining)
	if err := s.apply(text); err != nil {
		s.log("domain record not written: %v", err)
	}
	s.counters.appliedRecords = append(s.counters.appliedRecords, appliedRecord{s.storage.revision, s.events.now})
	s.events.after(f.GetEvery().AsDuration(), func() { s.applyRepeatedly(f, remaining-1) })
}

// appliedRecord is the revision and time of a record that operators wrote.
type appliedRecord struct {
	revision revno.Revision
	at       time.Time
}

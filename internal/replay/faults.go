package replay

import (
	"fmt"
	"time"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
)

// scheduleFaults schedules what goes wrong.
func (s *Sim) scheduleFaults() {
	for _, f := range s.trace.GetFault() {
		s.events.after(f.GetAt().AsDuration(), func() { s.startFault(f) })
		if f.GetLast() != nil {
			s.events.after(f.GetAt().AsDuration()+f.GetLast().AsDuration(), func() { s.endFault(f) })
		}
	}
}

// forEachUpstream visits the upstreams that a fault concerns.
func (s *Sim) forEachUpstream(f *pb.Fault, do func(*upstream)) {
	for i := range f.GetCount() {
		do(s.upstreams[int(f.GetIndex()+i)%len(s.upstreams)])
	}
}

// forEachEntry visits the entries that a fault concerns.
func (s *Sim) forEachEntry(f *pb.Fault, do func(*entry)) {
	for i := range f.GetCount() {
		do(s.entries[int(f.GetIndex()+i)%len(s.entries)])
	}
}

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
		s.setDomainOut(f, true)
	case pb.Fault_LIES:
		s.forEachUpstream(f, func(u *upstream) { u.underreports = true })
	case pb.Fault_BURST:
		s.rateFactor = fraction(f)
	case pb.Fault_SHED:
		s.shedFraction = fraction(f)
	case pb.Fault_GIVEUP:
		s.abandonFraction = fraction(f)
	case pb.Fault_POISON:
		s.sendPoison()
	case pb.Fault_APPLY:
		s.applyRepeatedly(f, f.GetCount())
	default:
		s.startControlFault(f)
	}
}

// fraction is the size of a fault that is told in percent.
func fraction(f *pb.Fault) float64 { return float64(f.GetFactor()) / 100 }

// startControlFault begins the faults of entries and of the store.
func (s *Sim) startControlFault(f *pb.Fault) {
	switch f.GetKind() {
	case pb.Fault_KILL:
		s.forEachEntry(f, func(e *entry) { e.killed = true })
	case pb.Fault_PAUSE:
		s.forEachEntry(f, func(e *entry) { e.pausedUntil = s.events.now.Add(f.GetLast().AsDuration()) })
	case pb.Fault_STORE:
		s.store.down = true
	case pb.Fault_LOST:
		s.store.loseReplies = true
	case pb.Fault_SPLIT:
		s.partitioned, s.partitionedAt = true, s.events.now
	case pb.Fault_CUT:
		s.storePartitioned = true
	case pb.Fault_CROSSED:
		s.counters.mismatching = true
	}
}

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
		s.setDomainOut(f, false)
	case pb.Fault_KILL:
		s.forEachEntry(f, func(e *entry) { s.startEntry(e.index) })
	case pb.Fault_STORE:
		s.store.down = false
	case pb.Fault_LOST:
		s.store.loseReplies = false
	case pb.Fault_SPLIT:
		s.partitioned = false
	case pb.Fault_CUT:
		s.storePartitioned = false
	case pb.Fault_CROSSED:
		s.counters.mismatching = false
	}
}

// blackhole makes the open connections to an upstream go silent, with what is in flight on them.
func (s *Sim) blackhole(u *upstream) {
	for _, e := range s.entries {
		e.blackholed[u.index] = true
	}
	for _, v := range append(u.queue, u.active...) {
		v.done = func(result.Result) {}
	}
}

// applyNoise gives each upstream another speed, again and again.
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

// noisyPercent is the share of upstreams with a noisy neighbour at any time, in percent.
const noisyPercent = 15

// setDomainOut takes a failure domain out by its record, or brings it back.
func (s *Sim) setDomainOut(f *pb.Fault, out bool) {
	if err := s.apply(domainRecord(int(f.GetIndex()), out)); err != nil {
		s.log("record not written: %v", err)
	}
	for _, u := range s.upstreams {
		if u.domain != int(f.GetIndex()) {
			continue
		}
		if out {
			u.domainOutAt = s.events.now
			continue
		}
		u.domainOutAt = time.Time{}
		u.restart()
		// The record announces this cold start to all entries.
		u.coldKnownAt = [2]time.Time{s.events.now, s.events.now}
	}
}

// sendPoison sends a call that crashes each upstream which runs it.
func (s *Sim) sendPoison() {
	c := &simCall{id: poisonID, caller: "caller-x", poison: true, at: s.events.now}
	s.send(c, s.pickLiveEntry())
}

// poisonID is the identity of the call that crashes upstreams.
const poisonID = 1 << 60

// applyRepeatedly lets operators write a record again and again.
func (s *Sim) applyRepeatedly(f *pb.Fault, left uint32) {
	if left == 0 {
		return
	}
	text := fmt.Sprintf("[[domain]]\nschema = 1\nname = \"spare\"\nregion = \"one\"\ndelay = \"%dus\"\n", left)
	if err := s.apply(text); err != nil {
		s.log("record not written: %v", err)
	}
	s.counters.appliedRecords = append(s.counters.appliedRecords, appliedRecord{s.store.revision, s.events.now})
	s.events.after(f.GetEvery().AsDuration(), func() { s.applyRepeatedly(f, left-1) })
}

// appliedRecord is a record that operators wrote.
type appliedRecord struct {
	revision int64
	at       time.Time
}

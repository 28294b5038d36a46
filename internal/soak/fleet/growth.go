package fleet

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/soak/caller"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// Sizes of a growing fleet.
const (
	// maxEntries bounds the entries that have not retired.
	maxEntries = 48
	maxSeeds   = 3
	// calledServices is the number of added services of one growth that have upstreams and callers.
	calledServices = 12
	grownUpstreams = 3
	// recordOverhead is the size in bytes of a service's record without its routes.
	recordOverhead = 80
	// routeBytes is the size of a route, of which a record has one at least.
	routeBytes = 200
	maxRoutes  = 16
)

// startGrown starts the upstreams of the services that the plan adds.
func (f *Fleet) startGrown() error {
	if !f.uses(plan.GrowRecords, plan.SwellRecords) {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range grownUpstreams {
		u, err := f.newUpstream(caller.Service{Kind: trail.Idempotent}, fmt.Sprintf("grown-%d", i+1), "v1", i%domainCount)
		if err != nil {
			return err
		}
		u.SkipWarmup()
		f.grown = append(f.grown, u)
	}
	return nil
}

// seeds returns the setting with the addresses of the last entries, if there are any and the plan has a growing fleet.
func (f *Fleet) seeds() string {
	var list []string
	for _, e := range f.allEntries() {
		list = append(list, fmt.Sprintf("%q", through(e.peerRelay, e.peer)))
	}
	if len(list) == 0 || !f.grows() {
		return ""
	}
	return fmt.Sprintf("seed = [%s]\n", strings.Join(list[max(0, len(list)-maxSeeds):], ", "))
}

// grows reports whether the plan has a growing fleet or configuration.
func (f *Fleet) grows() bool {
	return slices.ContainsFunc(f.Plan.Fault, func(x plan.Fault) bool { return x.Kind.Grows() })
}

// relayPeer puts the address of an entry's relay into the record of the entry, so that the other entries reach it through the relay.
func (f *Fleet) relayPeer(key string, value []byte) []byte {
	for _, e := range f.allEntries() {
		if e.peerRelay == nil || key != keys.Member(e.name) {
			continue
		}
		// A record that cannot be read is the entry's fault and stays as it is.
		if v, err := codec.Decode(item.Item{Key: key, Value: value}); err == nil && v.Member != nil {
			v.Member.Peer = e.peerRelay.Addr()
			if data, err := codec.Encode(v); err == nil {
				return data
			}
		}
	}
	return value
}

// addEntries starts more entries, with links like those of the first ones, and returns a function that retires them.
func (i *injection) addEntries() func() {
	f := i.fleet
	var added []*entry
	for range int(i.fault.Share) {
		if e := f.add(); e != nil {
			added = append(added, e)
		}
	}
	if i.fault.Lasts == 0 {
		return nothing
	}
	return func() {
		for _, e := range added {
			f.faults.Add(1)
			stop := &injection{f, plan.Fault{Kind: plan.RemoveEntry}, i.ctx}
			go (&hit{stop, e.name, func() func() { return stop.hitEntry(e) }}).run()
		}
	}
}

// add starts one entry more, if the machine has room for it; nil if not.
func (f *Fleet) add() *entry {
	f.starting.Lock()
	defer f.starting.Unlock()
	if f.running() >= maxEntries {
		return nil
	}
	n := len(f.allEntries())
	e, err := f.startEntry()
	if err != nil {
		f.recordError("fleet", err)
		return nil
	}
	for _, x := range f.Plan.Fault {
		if x.Target != n%f.Plan.Size {
			continue
		}
		switch x.Kind {
		case plan.LimitStore:
			e.storeRelay.SetRate(int(x.Share))
		case plan.LimitPeers:
			e.peerRelay.SetRate(int(x.Share))
		}
	}
	go e.loopPolls()
	return e
}

// running returns the number of entries that have not retired.
func (f *Fleet) running() int {
	n := 0
	for _, e := range f.allEntries() {
		if !e.isRetired() {
			n++
		}
	}
	return n
}

// retire stops an entry for good, unless it is the last one.
func (f *Fleet) retire(e *entry) {
	f.starting.Lock()
	last := f.running() < 2
	e.mu.Lock()
	e.retired = e.retired || !last
	e.mu.Unlock()
	f.starting.Unlock()
	if !last {
		e.stop()
	}
}

// load writes records at once, as an operator's import does, and reports whether it did; the trail says why not.
func (f *Fleet) load(text string) bool {
	recs, err := codec.ReadRecords("records", []byte(text))
	values := map[string][]byte{}
	for _, r := range recs {
		if err == nil {
			values[keys.Record(r.GetKind(), r.GetName())], err = proto.Marshal(r)
		}
	}
	if err != nil {
		f.recordError("records", err)
		return false
	}
	f.kv.Load(values)
	return true
}

// recordError records why a fault could not be injected.
func (f *Fleet) recordError(subject string, err error) {
	now := f.Clock.Now()
	f.Trail.Update(func() {
		f.Trail.Faults = append(f.Trail.Faults, &trail.Disturbance{What: "not injected: " + err.Error(), Subject: subject, Planned: true, Begin: now, End: now})
	})
}

// growRecords adds services, of which some have upstreams, and lets the callers call those.
func (i *injection) growRecords() {
	f := i.fleet
	f.growing.Lock()
	defer f.growing.Unlock()
	f.growths++
	count, size := int(i.fault.Share), plan.GrownBytes
	if i.fault.Kind == plan.SwellRecords {
		count, size = plan.SwollenRecords, int(i.fault.Share)<<10
	}
	var text strings.Builder
	var called []caller.Service
	for n := range count {
		s := caller.Service{Name: fmt.Sprintf("grown-%d-%03d", f.growths, n), Kind: trail.Idempotent}
		text.WriteString(serviceTOML(s))
		routes := min(maxRoutes, max(1, (size-recordOverhead)/routeBytes))
		for r := range routes {
			fmt.Fprintf(&text, "[[service.route]]\npath = \"/%0*d\"\n", (size-recordOverhead)/routes, r)
		}
		if n < calledServices {
			text.WriteString(f.grown[n%len(f.grown)].recordFor(s.Name+"-up", s.Name))
			called = append(called, s)
		}
	}
	if f.load(text.String()) {
		f.Crowd.AddServices(called)
	}
}

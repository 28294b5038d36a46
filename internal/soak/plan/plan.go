package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// ErrPlan is matched by the errors of a plan that is invalid.
var ErrPlan = eris.New("invalid fault plan")

// Plan is a list of faults with the size and duration of the soak that suffers them.
type Plan struct {
	// Seed determines the calls, run times and faults.
	Seed uint64
	// Size is the number of entries.
	Size int
	// Length is how long callers make calls.
	Length Duration
	// Fault lists the faults by their begin.
	Fault []Fault
}

// Fault is one fault.
type Fault struct {
	Kind Kind
	// At is the begin, after the start of the callers, and Lasts the duration of faults that end.
	At    Duration
	Lasts Duration
	// Target is the index of an entry or upstream, or of a failure domain if Domain is set.
	Target int
	Domain bool
	// Share is the share of connections, answers or calls that the fault hits, or a count; see the kind.
	Share float64
}

// Duration is a time.Duration that is written as text.
type Duration time.Duration

// MarshalText returns the duration in the format of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// String describes the fault.
func (f Fault) String() string {
	s := fmt.Sprintf("%s at %v", f.Kind, time.Duration(f.At))
	if f.Lasts > 0 {
		s += fmt.Sprintf(" for %v", time.Duration(f.Lasts))
	}
	if f.Domain {
		s += fmt.Sprintf(" domain %d", f.Target)
	} else {
		s += fmt.Sprintf(" target %d", f.Target)
	}
	if f.Share > 0 {
		s += fmt.Sprintf(" share %g", f.Share)
	}
	return s
}

// Parse reads a plan; errors match ErrPlan.
func Parse(data []byte) (*Plan, error) {
	p := &Plan{}
	if err := toml.Unmarshal(data, p); err != nil {
		return nil, eris.Wrap(ErrPlan, err.Error())
	}
	if p.Size < 1 || p.Length <= 0 {
		return nil, eris.Wrap(ErrPlan, "Size and Length must be above 0")
	}
	return p, nil
}

// Text returns the plan as TOML.
func (p *Plan) Text() (string, error) {
	b, err := toml.Marshal(p)
	return string(b), err
}

// Without returns the plan without the fault at an index.
func (p *Plan) Without(i int) *Plan {
	q := *p
	q.Fault = slices.Delete(slices.Clone(p.Fault), i, i+1)
	return &q
}

// Bounds of a drawn plan.
const (
	// calmBegin is the time without faults at the begin.
	calmBegin = 2 * time.Second
	// episodeGap is the mean time between two episodes, which may overlap.
	episodeGap = 3 * time.Second
	// maxLasts bounds the duration of one fault.
	maxLasts = 4 * time.Second
	// kindsPerSeed is the number of kinds of faults that one seed draws from, so that each seed shows a mix of its own.
	kindsPerSeed = 6
)

// Draw draws a plan.
//
// A plan has episodes: a series of faults of one kind, at one target after the other, at several at once, or at one failure
// domain. Every second seed has a loss of contact with the store and a failure of all upstreams besides. From FirstGrowing on, seeds
// have a growing fleet, and from FirstRestoring on a store that comes back from an older copy, of which half have no more than that.
func Draw(seed uint64, size int, length time.Duration) *Plan {
	p := &Plan{Seed: seed, Size: size, Length: Duration(length)}
	if seed < FirstGrowing || seed%4 < 2 {
		p.drawMix()
	}
	switch {
	case seed >= FirstRestoring:
		p.Fault = append(p.Fault, restorations(rand.New(rand.NewPCG(seed, 7)), size, length)...)
	case seed >= FirstGrowing:
		p.Fault = append(p.Fault, growth(rand.New(rand.NewPCG(seed, 6)), size, length)...)
	}
	slices.SortStableFunc(p.Fault, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// drawMix adds the episodes of a seed, and its loss of contact and failure of all upstreams.
func (p *Plan) drawMix() {
	seed, size, length := p.Seed, p.Size, time.Duration(p.Length)
	r := rand.New(rand.NewPCG(seed, 2))
	var kinds []Kind
	for _, k := range r.Perm(int(mixedKinds))[:kindsPerSeed] {
		kinds = append(kinds, Kind(k))
	}
	// Planned stops are the most frequent event of all, so each seed has some.
	kinds = append(kinds, Stop)
	for at := calmBegin; at < length-calmBegin; at += time.Duration(r.ExpFloat64() * float64(episodeGap)) {
		p.Fault = append(p.Fault, withIdleCallers(episode(r, kinds[r.IntN(len(kinds))], at, size))...)
	}
	if seed%2 == 1 {
		p.Fault = append(p.Fault, lossOfContact(rand.New(rand.NewPCG(seed, 4)), size, length)...)
		p.Fault = append(p.Fault, upstreamsFail(rand.New(rand.NewPCG(seed, 5)), length)...)
	}
}

// episode draws the faults of one episode.
func episode(r *rand.Rand, k Kind, at time.Duration, size int) []Fault {
	// Targets beyond the number of upstreams or records wrap around.
	targets := 1 << 10
	if k.HitsEntries() {
		targets = size
	}
	f := Fault{Kind: k, At: Duration(at), Target: r.IntN(targets)}
	if shares := specs[k].shares; len(shares) > 0 {
		f.Share = shares[r.IntN(len(shares))]
	}
	if specs[k].lasts {
		f.Lasts = Duration(time.Duration(200+r.IntN(int(maxLasts.Milliseconds())-200)) * time.Millisecond)
	}
	if k.HitsStore() || k.HitsRecords() {
		return []Fault{f}
	}
	if r.IntN(5) == 0 {
		f.Domain = true
		f.Target = r.IntN(domains)
		return []Fault{f}
	}
	out := []Fault{f}
	gap := time.Duration(r.IntN(1500)) * time.Millisecond * time.Duration(r.IntN(2))
	for i := range r.IntN(3) {
		next := f
		next.At += Duration(time.Duration(i+1) * gap)
		next.Target = (f.Target + i + 1) % targets
		out = append(out, next)
	}
	return out
}

// withIdleCallers adds idle callers to each limit of descriptors, since a limit alone is rarely reached.
func withIdleCallers(faults []Fault) []Fault {
	out := faults
	for _, f := range faults {
		if f.Kind == FewFiles {
			f.Kind, f.Share, f.Lasts = IdleCallers, idleCallers, Duration(idleLasts)
			f.At += Duration(idleDelay)
			out = append(out, f)
		}
	}
	return out
}

// Idle callers of an entry with few descriptors, more than any drawn limit.
const (
	idleCallers = 500
	idleDelay   = 500 * time.Millisecond
	idleLasts   = 3 * time.Second
)

// upstreamsFail draws a failure of the upstreams of all domains at once: their answers are lost or cut, or their connections end.
func upstreamsFail(r *rand.Rand, length time.Duration) []Fault {
	begin := calmBegin + time.Duration(r.Int64N(int64(max(time.Second, length-6*time.Second))))
	f := Fault{Kind: []Kind{LoseAnswers, CutAnswers, Crash, ResetUpstream}[r.IntN(4)], At: Duration(begin), Domain: true}
	if len(specs[f.Kind].shares) > 0 {
		f.Share = 0.5
	}
	if specs[f.Kind].lasts {
		f.Lasts = Duration(upstreamsFailTime)
	}
	var out []Fault
	for i := range domains {
		f.Target = i
		out = append(out, f)
	}
	return out
}

// upstreamsFailTime is how long all upstreams fail at once.
const upstreamsFailTime = 2 * time.Second

// domains is the number of failure domains.
const domains = 3

// Times of a loss of contact.
const (
	contactLost = 3500 * time.Millisecond
	// earlyChange is the least time from the loss to the removal if an entry is spared, which must learn of it in time, and lateChange
	// that if none is: the loss then no longer excuses what the entries do.
	earlyChange = 200 * time.Millisecond
	lateChange  = 3200 * time.Millisecond
	// changeLasts leaves time to watch an upstream after the bound for its removal.
	changeLasts = 6500 * time.Millisecond
	// removals upstreams are removed, each removalStep after the one before: one of each service, since some services have few calls.
	removals    = 6
	removalStep = 4
)

// lossOfContact draws a fault of the links to the store that hits all entries at once, or all but one, and removals that operators
// make while it lasts or soon after. Entries that watch the store and those that hear from them must not take silence for a sign
// that nothing has changed.
func lossOfContact(r *rand.Rand, size int, length time.Duration) []Fault {
	begin := calmBegin + time.Duration(r.Int64N(int64(max(time.Second, length-10*time.Second))))
	f := Fault{Kind: []Kind{SilentStore, OneWayStore}[r.IntN(2)], At: Duration(begin), Share: 1}
	if specs[f.Kind].lasts {
		f.Lasts = Duration(contactLost)
	}
	spared, delay := -1, lateChange
	if size > 1 && r.IntN(2) == 0 {
		spared, delay = r.IntN(size), earlyChange
	}
	var out []Fault
	for i := range size {
		if i != spared {
			f.Target = i
			out = append(out, f)
		}
	}
	delay += time.Duration(r.IntN(1000)) * time.Millisecond
	change := Fault{Kind: Remove, At: Duration(begin + delay), Lasts: Duration(changeLasts), Target: r.IntN(removalStep)}
	for range removals {
		out = append(out, change)
		change.Target += removalStep
	}
	return out
}

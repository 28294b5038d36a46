package ledger

/*
 Collect (counts of each entry) --> Decide --> the store --> Load --> NextReport --> the platform --> Reported

A report is sent only after the store has its content, so that a later holder repeats it exactly. Counts that were collected and are
not decided stay with their entries, except those of entries that have ended: Decisions.Carry keeps these.
*/

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamvale/balsamvale/pkg/duties/decis"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
)

// Ledger collects the usage of all entries, and decides the reports of the windows in their order.
//
// It is not safe for concurrent use.
type Ledger struct {
	// length is the length of a window, and late the time after its end at which its report is due.
	length, late time.Duration
	// stored is what the store keeps, as this entry last wrote or read it.
	stored decis.Decisions
	// accepted holds the windows whose reports were accepted since stored was written.
	accepted map[int64]bool
	// counts holds what entries have handed over for windows that are not decided, by window and entry.
	counts map[int64]map[string]map[string]int64
	// leavers holds the entries in counts that have ended and have to be written to Carry.
	leavers map[string]bool
	// takenAt is when this entry began to hold the duty.
	takenAt time.Time
	// tries holds what is known of the reports that were sent without being accepted.
	tries map[int64]try
}

// try is the history of one report that was not accepted.
type try struct {
	next  time.Time
	pause time.Duration
}

const (
	// settleTime is how long after the end of a window its counts may still change: attempts are counted as they begin, and not
	// counted any more if they turn out not to have run.
	settleTime = time.Second
	// waitPart is the part of the time for a report for which missing entries are waited for.
	waitPart = 0.6
	// takeoverPart is the part of that time for which a new holder waits for entries to find it.
	takeoverPart = 0.15
	// maxWindows is the number of windows that are decided later than they are due, after a time without a holder.
	maxWindows = 24
	// minPause and maxPause bound the time between two sendings of a report.
	minPause = 200 * time.Millisecond
	maxPause = 2 * time.Second
)

// New returns the ledger for windows of a length, whose reports are due at a time after their ends.
func New(length, late time.Duration) *Ledger {
	return &Ledger{length: length, late: late, accepted: map[int64]bool{}, counts: map[int64]map[string]map[string]int64{}, leavers: map[string]bool{}, tries: map[int64]try{}}
}

// WindowOf returns the number of the window of a given length in which a time is.
func WindowOf(at time.Time, length time.Duration) int64 {
	n := at.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w--
	}
	return w
}

// end returns when a window ends.
func (l *Ledger) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(l.length)) }

// Load takes over what the store keeps, as this entry begins to hold the duty; found is false if it has nothing. What this entry
// decided before as a holder and the store has lost since, because it came back from an older copy, is kept.
func (l *Ledger) Load(now time.Time, stored decis.Decisions, found bool) {
	newest := WindowOf(now, l.length) - 1
	switch {
	case !found:
		stored.To = WindowOf(now.Add(-l.late), l.length)
	case stored.To < newest-maxWindows:
		stored.To = newest - maxWindows
	}
	if l.stored.To > stored.To {
		known := map[int64]bool{}
		for _, u := range l.stored.Open {
			known[u.Window] = true
		}
		for _, u := range stored.Open {
			if !known[u.Window] && !l.accepted[u.Window] {
				l.stored.Open = append(l.stored.Open, u)
			}
		}
		stored.To, stored.Open = l.stored.To, l.stored.Open
	} else {
		clear(l.accepted)
	}
	l.stored, l.takenAt = stored, now
	l.counts, l.leavers, l.tries = map[int64]map[string]map[string]int64{}, map[string]bool{}, map[int64]try{}
	for _, h := range stored.Carry {
		l.Collect(h)
	}
}

// DecidedTo returns the last window that is decided in the store.
func (l *Ledger) DecidedTo() int64 { return l.stored.To }

// Collect takes in the counts of an entry, in place of those that it handed over before. It knows that windows up to
// Handover.DecidedTo are decided, although a store that came back from an older copy may not: these are not decided again.
func (l *Ledger) Collect(h handov.Handover) {
	l.stored.To = max(l.stored.To, h.DecidedTo)
	for _, u := range h.Usages {
		if u.Window <= l.stored.To {
			continue
		}
		if l.counts[u.Window] == nil {
			l.counts[u.Window] = map[string]map[string]int64{}
		}
		l.counts[u.Window][h.From] = u.Counts
	}
	if h.Leaving {
		l.leavers[h.From] = true
	}
}

// Drop forgets the counts of an entry that the store cannot keep.
func (l *Ledger) Drop(from string) {
	delete(l.leavers, from)
	for window, by := range l.counts {
		if !l.isCarried(from, window) {
			delete(by, from)
		}
	}
}

// Kept reports whether the store keeps the counts of an entry that has ended.
func (l *Ledger) Kept(from string) bool {
	for window, by := range l.counts {
		if _, ok := by[from]; ok && !slices.ContainsFunc(l.stored.Carry, func(h handov.Handover) bool {
			return h.From == from && slices.ContainsFunc(h.Usages, func(u usage.Usage) bool { return u.Window == window })
		}) {
			return false
		}
	}
	return true
}

// Decide returns what the store has to keep next, and whether that differs in more than accepted reports: windows are decided once
// all entries have handed over their counts, or can be waited for no longer, and the counts of entries that have ended are carried.
func (l *Ledger) Decide(now time.Time, entries int) (next decis.Decisions, changed bool) {
	next = decis.Decisions{To: l.stored.To}
	for _, u := range l.stored.Open {
		if !l.accepted[u.Window] {
			next.Open = append(next.Open, u)
		}
	}
	for l.isDue(now, next.To+1, entries) {
		next.To++
		next.Open = append(next.Open, l.total(next.To))
		changed = true
	}
	if extra := len(next.Open) - maxWindows; extra > 0 {
		next.Open = next.Open[extra:]
	}
	for _, window := range slices.Sorted(maps.Keys(l.counts)) {
		for _, from := range slices.Sorted(maps.Keys(l.counts[window])) {
			if window > next.To && (l.leavers[from] || l.isCarried(from, window)) {
				next.Carry = append(next.Carry, handov.Handover{From: from, Usages: []usage.Usage{{Window: window, Counts: l.counts[window][from]}}})
				changed = changed || !l.isCarried(from, window)
			}
		}
	}
	return next, changed
}

func (l *Ledger) isCarried(from string, window int64) bool {
	return slices.ContainsFunc(l.stored.Carry, func(h handov.Handover) bool { return h.From == from && h.Usages[0].Window == window })
}

// isDue reports whether a window has to be decided now.
func (l *Ledger) isDue(now time.Time, window int64, entries int) bool {
	end := l.end(window)
	if now.Before(end.Add(settleTime)) {
		return false
	}
	running := 0
	for from := range l.counts[window] {
		if !l.leavers[from] && !l.isCarried(from, window) {
			running++
		}
	}
	if running >= entries {
		return true
	}
	return !now.Before(end.Add(part(waitPart, l.late))) && !now.Before(l.takenAt.Add(part(takeoverPart, l.late)))
}

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

// total returns the sum of what the entries have handed over for a window.
func (l *Ledger) total(window int64) usage.Usage {
	out := usage.Usage{Window: window, Counts: map[string]int64{}}
	for _, counts := range l.counts[window] {
		for account, n := range counts {
			if n > 0 {
				out.Counts[account] += n
			}
		}
	}
	return out
}

// Written records that the store keeps what Decide returned.
func (l *Ledger) Written(d decis.Decisions) {
	// Windows that an entry has named as decided meanwhile stay decided.
	d.To = max(d.To, l.stored.To)
	l.stored = d
	for window := range l.accepted {
		if !slices.ContainsFunc(d.Open, func(u usage.Usage) bool { return u.Window == window }) {
			delete(l.accepted, window)
		}
	}
	for window := range l.counts {
		if window <= d.To {
			delete(l.counts, window)
		}
	}
}

// NextReport returns the oldest decided report that is due to be sent, and whether there is one.
func (l *Ledger) NextReport(now time.Time) (usage.Usage, bool) {
	for _, u := range l.stored.Open {
		if !l.accepted[u.Window] && !now.Before(l.tries[u.Window].next) {
			return u, true
		}
	}
	return usage.Usage{}, false
}

// Reported records whether the report of a window was accepted. One that was not is due again after a pause.
func (l *Ledger) Reported(now time.Time, window int64, accepted bool) {
	if accepted {
		l.accepted[window] = true
		delete(l.tries, window)
		return
	}
	pause := min(max(2*l.tries[window].pause, minPause), maxPause)
	l.tries[window] = try{next: now.Add(pause), pause: pause}
}

// Unreported returns the number of decided reports that are not known to have been accepted.
func (l *Ledger) Unreported() int {
	n := 0
	for _, u := range l.stored.Open {
		if !l.accepted[u.Window] {
			n++
		}
	}
	return n
}

package plan

import "github.com/rotisserie/eris"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Kind -linecomment

// Kind is a kind of fault.
type Kind int

// Values of Kind.
const (
	// Stop sends SIGTERM to an entry and starts it again after its exit.
	Stop Kind = iota // stop
	// Kill sends SIGKILL to an entry and starts it again.
	Kill // kill
	// Pause sends SIGSTOP to an entry, and SIGCONT at its end.
	Pause // pause
	// Reload sends SIGHUP to an entry.
	Reload // reload
	// SilentCallers, SilentStore and SilentUpstream let the open connections of a link carry no data for good.
	SilentCallers  // silent-callers
	SilentStore    // silent-store
	SilentUpstream // silent-upstream
	// ResetCallers, ResetStore and ResetUpstream reset the connections of a link.
	ResetCallers  // reset-callers
	ResetStore    // reset-store
	ResetUpstream // reset-upstream
	// SlowCallers, SlowStore and SlowUpstream delay the data of a link; Share is the delay in seconds.
	SlowCallers  // slow-callers
	SlowStore    // slow-store
	SlowUpstream // slow-upstream
	// OneWayStore and OneWayUpstream drop what comes back on a link.
	OneWayStore    // oneway-store
	OneWayUpstream // oneway-upstream
	// StoreDown makes the store refuse all calls, StoreStall delays them, StoreLoss loses replies, StoreForget drops its
	// history.
	StoreDown   // store-down
	StoreStall  // store-stall
	StoreLoss   // store-loss
	StoreForget // store-forget
	// Remove removes an upstream and restores it; Leave makes it report that it is leaving.
	Remove // remove
	Leave  // leave
	// DrainDomain drains a failure domain and restores it.
	DrainDomain // drain-domain
	// DropService removes the record of a service and restores it.
	DropService // drop-service
	// Rollout moves a service to a new version.
	Rollout // rollout
	// Crash ends an upstream and starts it again at its end.
	Crash // crash
	// LoseAnswers, CutAnswers, DoubleAnswers, GarbleAnswers and FailAnswers spoil a share of the answers of an upstream.
	LoseAnswers   // lose-answers
	CutAnswers    // cut-answers
	DoubleAnswers // double-answers
	GarbleAnswers // garble-answers
	FailAnswers   // fail-answers
	// SlowAnswers makes an upstream slower; Share is the factor.
	SlowAnswers // slow-answers
	// IdleCallers opens idle connections to an entry; Share is their number.
	IdleCallers // idle-callers
	// FewFiles limits the descriptors of an entry until its exit; Share is their number.
	FewFiles // few-files
	// SharedKeys makes callers use each other's idempotency keys.
	SharedKeys // shared-keys
	// LateRecords lets the entries start without any record; domains and upstreams are written at the begin, services at the end.
	LateRecords // late-records
	// GrowRecords adds Share services at once, SwellRecords adds services whose records have Share kilobytes.
	GrowRecords  // grow-records
	SwellRecords // swell-records
	// AddEntries starts Share entries more and stops them at the end, for good; RemoveEntry stops an entry for good.
	AddEntries  // add-entries
	RemoveEntry // remove-entry
	// LimitStore and LimitPeers limit the links of an entry to the store, and from other entries; Share is the bytes a second.
	LimitStore // limit-store
	LimitPeers // limit-peers
	// StoreMute keeps watches from a response, and drops the history at its end.
	StoreMute // store-mute
	// StoreRestore brings the store back at its end as it was at its begin, in a new era. Operators write again what was lost.
	StoreRestore // store-restore
	kindCount

	// mixedKinds is the number of kinds that the episodes of each seed draw from.
	mixedKinds = SharedKeys + 1
)

// MarshalText returns the name of the kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind; errors match ErrPlan.
func (k *Kind) UnmarshalText(text []byte) error {
	for v := range kindCount {
		if v.String() == string(text) {
			*k = v
			return nil
		}
	}
	return eris.Wrapf(ErrPlan, "unknown kind of fault %q", text)
}

// target is what a kind of fault hits.
type target int

const (
	entries target = iota
	upstreams
	kvStore
	records
)

// specs describe the kinds: what they hit, whether they end after a time, whether operators or callers do them or they are what a link
// is like, and the shares that are drawn.
var specs = [kindCount]struct {
	target  target
	lasts   bool
	planned bool
	shares  []float64
}{
	Stop: {entries, false, true, nil}, Kill: {entries, false, false, nil}, Pause: {entries, true, false, nil}, Reload: {entries, false, true, nil},
	SilentCallers: {entries, false, false, some}, SilentStore: {entries, false, false, some}, SilentUpstream: {upstreams, false, false, some},
	ResetCallers: {entries, false, false, some}, ResetStore: {entries, false, false, some}, ResetUpstream: {upstreams, false, false, some},
	SlowCallers: {entries, true, false, delays}, SlowStore: {entries, true, false, delays}, SlowUpstream: {upstreams, true, false, delays},
	OneWayStore: {entries, true, false, nil}, OneWayUpstream: {upstreams, true, false, nil},
	StoreDown: {kvStore, true, false, nil}, StoreStall: {kvStore, true, false, delays}, StoreLoss: {kvStore, true, false, spoilt}, StoreForget: {kvStore, false, false, nil},
	Remove: {upstreams, true, true, nil}, Leave: {upstreams, true, true, nil},
	DrainDomain: {records, true, true, nil}, DropService: {records, true, true, nil}, Rollout: {records, false, true, nil},
	Crash: {upstreams, true, false, nil}, LoseAnswers: {upstreams, true, false, spoilt}, CutAnswers: {upstreams, true, false, spoilt},
	DoubleAnswers: {upstreams, true, false, spoilt}, GarbleAnswers: {upstreams, true, false, spoilt}, FailAnswers: {upstreams, true, false, spoilt},
	SlowAnswers: {upstreams, true, false, []float64{2, 5, 10}}, IdleCallers: {entries, true, true, []float64{50, 500, 2000}},
	FewFiles: {entries, false, true, []float64{120, 200, 400}}, SharedKeys: {records, true, true, nil},
	LateRecords: {records, true, true, nil}, GrowRecords: {records, false, true, nil}, SwellRecords: {records, false, true, nil},
	AddEntries: {records, true, true, nil}, RemoveEntry: {entries, false, true, nil},
	LimitStore: {entries, false, true, nil}, LimitPeers: {entries, false, true, nil}, StoreMute: {kvStore, true, false, nil},
	StoreRestore: {kvStore, true, true, nil},
}

// Shares of connections, delays in seconds, and shares of answers.
var (
	some   = []float64{0.3, 1}
	delays = []float64{0.02, 0.1, 0.5}
	spoilt = []float64{0.1, 0.5}
)

// HitsEntries reports whether the target of the fault is an entry.
func (k Kind) HitsEntries() bool { return specs[k].target == entries }

// HitsUpstreams reports whether the target of the fault is an upstream.
func (k Kind) HitsUpstreams() bool { return specs[k].target == upstreams }

// HitsStore reports whether the target of the fault is the store.
func (k Kind) HitsStore() bool { return specs[k].target == kvStore }

// HitsRecords reports whether the fault changes records of operators, the number of entries, or the habits of callers.
func (k Kind) HitsRecords() bool { return specs[k].target == records }

// Planned reports whether the fault is something that operators and callers do, or what a link is like, which excuses nothing.
func (k Kind) Planned() bool { return specs[k].planned }

// Grows reports whether the fault is one of a growing fleet or configuration.
func (k Kind) Grows() bool { return k >= mixedKinds && k <= StoreMute }

// Lasting reports whether the fault lasts for the connections that are open when it begins.
func (k Kind) Lasting() bool {
	return k == SilentCallers || k == SilentStore || k == SilentUpstream
}

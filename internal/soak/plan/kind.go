package plan

import (
	"math/rand/v2"

	"github.com/rotisserie/eris"
)

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
	kindCount
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

// HitsEntries reports whether the target of the fault is an entry.
func (k Kind) HitsEntries() bool {
	switch k {
	case Stop, Kill, Pause, Reload, SilentCallers, ResetCallers, SlowCallers, SilentStore, ResetStore, SlowStore, OneWayStore, IdleCallers, FewFiles:
		return true
	}
	return false
}

// HitsUpstreams reports whether the target of the fault is an upstream.
func (k Kind) HitsUpstreams() bool {
	switch k {
	case SilentUpstream, ResetUpstream, SlowUpstream, OneWayUpstream, Remove, Leave, Crash, LoseAnswers, CutAnswers, DoubleAnswers, GarbleAnswers, FailAnswers, SlowAnswers:
		return true
	}
	return false
}

// lasts reports whether the fault ends after a time.
func (k Kind) lasts() bool {
	switch k {
	case Stop, Kill, Reload, SilentCallers, SilentStore, SilentUpstream, ResetCallers, ResetStore, ResetUpstream, StoreForget, Rollout, FewFiles:
		return false
	}
	return true
}

// drawShare draws the share of a fault.
func (k Kind) drawShare(r *rand.Rand) float64 {
	switch k {
	case SlowCallers, SlowStore, SlowUpstream, StoreStall:
		return 0.02 + 0.5*r.Float64()
	case SilentCallers, SilentStore, SilentUpstream, ResetCallers, ResetStore, ResetUpstream:
		return []float64{0.3, 1}[r.IntN(2)]
	case StoreLoss, LoseAnswers, CutAnswers, DoubleAnswers, GarbleAnswers, FailAnswers:
		return []float64{0.1, 0.5}[r.IntN(2)]
	case SlowAnswers:
		return 2 + 8*r.Float64()
	case IdleCallers:
		return []float64{50, 500, 2000}[r.IntN(3)]
	case FewFiles:
		return []float64{120, 200, 400}[r.IntN(3)]
	}
	return 0
}

// HitsStore reports whether the target of the fault is the store.
func (k Kind) HitsStore() bool {
	switch k {
	case StoreDown, StoreStall, StoreLoss, StoreForget:
		return true
	}
	return false
}

// HitsRecords reports whether the fault changes records of operators, or the habits of callers.
func (k Kind) HitsRecords() bool { return !k.HitsEntries() && !k.HitsUpstreams() && !k.HitsStore() }

// Planned reports whether the fault is something that operators and callers do, which excuses nothing.
func (k Kind) Planned() bool {
	switch k {
	case Stop, Reload, Remove, Leave, DrainDomain, DropService, Rollout, IdleCallers, FewFiles, SharedKeys:
		return true
	}
	return false
}

// Lasting reports whether the fault lasts for the connections that are open when it begins.
func (k Kind) Lasting() bool {
	return k == SilentCallers || k == SilentStore || k == SilentUpstream
}

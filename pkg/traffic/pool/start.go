package pool

import (
	"github.com/balsamvale/balsamvale/pkg/shared/svcfg"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// initialLimit returns the initial admission limit: in fleets of tune.SharedStartEntries and more this entry's part of the
// slots of the service, at least 1 and at most tune.AdmitLimitInitial, and tune.AdmitLimitInitial in smaller ones.
func (p *Pool) initialLimit() int {
	if p.config.EntryCount < tune.SharedStartEntries {
		return tune.AdmitLimitInitial
	}
	slots, _ := p.totalSlots()
	return min(max(tune.AdmitLimitMin, slots/p.config.EntryCount), tune.AdmitLimitInitial)
}

// totalSlots returns the slots of the upstreams that may get new work, and their number.
func (p *Pool) totalSlots() (slots, upstreams int) {
	for _, s := range p.upstreams {
		if s.available() {
			slots += s.slots(p)
			upstreams++
		}
	}
	return slots, upstreams
}

// typicalSlots returns the mean of the slots of an upstream, rounded down, or those of the service if there is none.
func (p *Pool) typicalSlots() int {
	slots, upstreams := p.totalSlots()
	if upstreams == 0 {
		return p.config.Service.Slots
	}
	return slots / upstreams
}

// retryBurst returns the retries that this entry may save up. Where the service names none, fleets of tune.SharedStartEntries
// and more share what as many entries may save up.
func retryBurst(cfg *svcfg.Config) int {
	if cfg.RetryBurst > 0 || cfg.EntryCount < tune.SharedStartEntries {
		return cfg.RetryBurst
	}
	return max(1, tune.RetryBurst*tune.SharedStartEntries/cfg.EntryCount)
}

package config

import (
	"strings"

	"github.com/balsamvale/balsamvale/pkg/records/movrec"
	"github.com/balsamvale/balsamvale/pkg/shared/share"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

func (c *Config) touchMove(move string) {
	if m := c.Moves[move]; m != nil {
		c.dirty[m.Service] = true
	}
}

// resume takes the start of a move that begins when it is read from its progress, if there is any.
func (c *Config) resume(move string) {
	m, p := c.Moves[move], c.Progress[move]
	if m == nil || p == nil || m.Span == 0 || !p.Start.Before(m.Start) {
		return
	}
	m.Start, m.Deadline = p.Start, p.Start.Add(m.Span)
}

// shares splits the calls of a service by the move that is under way.
func (c *Config) shares(service string, reverted func(move string) bool) []share.Share {
	m := c.current(service)
	if m == nil {
		return nil
	}
	part := 0
	if p := c.Progress[m.Name]; p != nil {
		part = p.Share
		if p.Phase == phase.Reverted {
			part = 0
		}
	}
	if !c.ended(m.Name) && reverted(m.Name) {
		part = 0
	}
	return []share.Share{
		{Version: m.From, Weight: wholeShare - part},
		{Version: m.To, Weight: part},
	}
}

// ended reports whether a move is done or taken back, so that nothing is judged any more.
func (c *Config) ended(move string) bool {
	p := c.Progress[move]
	return p != nil && (p.Phase == phase.Done || p.Phase == phase.Reverted)
}

// wholeShare is the weight of all calls, in thousandths.
const wholeShare = 1000

// current returns the newest move of a service by its start time.
func (c *Config) current(service string) *movrec.Move {
	var best *movrec.Move
	for _, m := range c.Moves {
		if m.Service != service {
			continue
		}
		if best == nil || m.Start.After(best.Start) || (m.Start.Equal(best.Start) && strings.Compare(m.Name, best.Name) > 0) {
			best = m
		}
	}
	return best
}

// Current returns the move that decides the versions of a service, or nil.
func (c *Config) Current(service string) *movrec.Move { return c.current(service) }

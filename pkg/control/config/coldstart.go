package config

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// setAnnounced records the warm-up that an upstream announces.
//
// An announcement without a warm-up ends the cold start of the same incarnation.
func (c *Config) setAnnounced(now time.Time, u *upsrec.Upstream) {
	cs := c.coldStarts[u.Name]
	if u.Warmup > 0 {
		cs.until = now.Add(u.Warmup)
	} else if cs.incarnation == u.Incarnation {
		cs.until = time.Time{}
	}
	cs.incarnation = u.Incarnation
	c.coldStarts[u.Name] = cs
}

// markCold marks an upstream cold for the warm-up time of its service.
func (c *Config) markCold(now time.Time, name string) {
	u := c.Upstreams[name]
	warmup := defaultWarmup
	if s := c.Services[u.Service]; s != nil {
		warmup = s.Warmup
	}
	c.coldStarts[name] = coldStart{until: now.Add(warmup)}
	c.dirty[u.Service] = true
}

// coldStart is the cold start of an upstream, which lasts until a time. The incarnation is 0 if it is not known.
type coldStart struct {
	until       time.Time
	incarnation uint64
}

// SetColdUntil records a cold start that an entry has observed, for service configurations that are built later.
func (c *Config) SetColdUntil(upstream string, incarnation uint64, until time.Time) {
	c.coldStarts[upstream] = coldStart{until, incarnation}
}

// defaultWarmup is the warm-up time of an upstream whose service is not known yet.
const defaultWarmup = 10 * time.Second

// markDomainCold marks the upstreams in a failure domain cold.
func (c *Config) markDomainCold(now time.Time, domain string) {
	for name, u := range c.Upstreams {
		if u.Domain == domain {
			c.markCold(now, name)
		}
	}
}

// MarkAllCold marks all upstreams cold except those that announce themselves, for when their state is not known.
func (c *Config) MarkAllCold(now time.Time) {
	for name, u := range c.Upstreams {
		if u.Incarnation == 0 {
			c.markCold(now, name)
		}
	}
}

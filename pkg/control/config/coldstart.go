package config

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// setAnnounced takes over what an upstream says of its own warm-up.
func (c *Config) setAnnounced(now time.Time, u *upsrec.Upstream) {
	cs := c.cold[u.Name]
	if u.Warmup > 0 {
		cs.until = now.Add(u.Warmup)
	} else if cs.incarnation == u.Incarnation {
		cs.until = time.Time{}
	}
	cs.incarnation = u.Incarnation
	c.cold[u.Name] = cs
}

// markCold marks an upstream cold for the warm-up time of its service.
func (c *Config) markCold(now time.Time, name string) {
	u := c.Upstreams[name]
	warm := defaultWarmup
	if s := c.Services[u.Service]; s != nil {
		warm = s.Warmup
	}
	c.cold[name] = coldStart{until: now.Add(warm)}
	c.dirty[u.Service] = true
}

// coldStart is the cold start of an upstream; boot is 0 when its start identity is not known.
type coldStart struct {
	until       time.Time
	incarnation uint64
}

// SetColdUntil notes a cold start that an entry saw, for traffic state that is built later.
func (c *Config) SetColdUntil(upstream string, boot uint64, until time.Time) {
	c.cold[upstream] = coldStart{until, boot}
}

// defaultWarmup is the warm-up of an upstream whose service is not known yet.
const defaultWarmup = 10 * time.Second

func (c *Config) markDomainCold(now time.Time, domain string) {
	for name, u := range c.Upstreams {
		if u.Domain == domain {
			c.markCold(now, name)
		}
	}
}

// MarkAllCold marks every upstream cold, as when nothing is known of any.
func (c *Config) MarkAllCold(now time.Time) {
	for name, u := range c.Upstreams {
		if u.Incarnation == 0 {
			c.markCold(now, name)
		}
	}
}

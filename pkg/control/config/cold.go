package config

import (
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/upsrec"
)

// announce takes over what an upstream says of its own warm-up.
func (c *Config) announce(now time.Time, u *upsrec.Upstream) {
	cs := c.cold[u.Name]
	if u.Warm > 0 {
		cs.until = now.Add(u.Warm)
	} else if cs.boot == u.Boot {
		cs.until = time.Time{}
	}
	cs.boot = u.Boot
	c.cold[u.Name] = cs
}

// chill marks an upstream cold for the warm-up time of its service.
func (c *Config) chill(now time.Time, name string) {
	u := c.Upstreams[name]
	warm := defaultWarm
	if s := c.Services[u.Service]; s != nil {
		warm = s.Warm
	}
	c.cold[name] = coldStart{until: now.Add(warm)}
	c.dirty[u.Service] = true
}

// coldStart is the cold start of an upstream; boot is 0 when its start identity is not known.
type coldStart struct {
	until time.Time
	boot  uint64
}

// Chill notes a cold start that an entry saw, for traffic state that is built later.
func (c *Config) Chill(upstream string, boot uint64, until time.Time) {
	c.cold[upstream] = coldStart{until, boot}
}

// defaultWarm is the warm-up of an upstream whose service is not known yet.
const defaultWarm = 10 * time.Second

func (c *Config) chillDomain(now time.Time, domain string) {
	for name, u := range c.Upstreams {
		if u.Domain == domain {
			c.chill(now, name)
		}
	}
}

// ChillAll marks every upstream cold, as when nothing is known of any.
func (c *Config) ChillAll(now time.Time) {
	for name, u := range c.Upstreams {
		if u.Boot == 0 {
			c.chill(now, name)
		}
	}
}

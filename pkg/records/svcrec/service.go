package svcrec

import (
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/route"
)

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// Slots is the number of calls that one upstream runs concurrently, unless its own record says otherwise.
	Slots int
	// Conns is the number of connections that one upstream accepts from all entries together.
	Conns int
	// Timeout is the longest time that an interactive call may take.
	Timeout time.Duration
	// ColdConcurrency is the number of concurrent calls from all entries that a cold upstream can take.
	ColdConcurrency int
	// ColdRate is the number of calls per second from all entries that a cold upstream can take; 0 limits them by
	// ColdConcurrency instead.
	ColdRate int
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
	// ProbeRate is the number of probes per second that all entries together may send to one upstream. If ProbesPerCall
	// is set, these probes are sent for calls; the owner of a shard then probes on its own only if another service needs
	// shard owners.
	ProbeRate int
	// ProbesPerCall is the number of upstreams that are asked for their load before a call is sent; 0 for none.
	ProbesPerCall int
	// LoadPath is the path at which upstreams serve their load report to the probes that are sent for calls; empty for
	// tune.DefaultLoadPath, which the other probes always use.
	LoadPath string
	// RetryPercent is the number of retries allowed per hundred calls.
	RetryPercent int
	// RetryBurst is the number of retries beyond RetryPercent that all entries together may save up; 0 gives each entry
	// the default.
	RetryBurst int
	// Queue is the number of calls that may wait in one entry.
	Queue int
	// Routes lists the path prefixes with settings of their own.
	Routes []route.Route
}

// Route returns the route with the longest prefix that matches a path, or the default route "/" if none does.
func (s *Service) Route(path string) route.Route {
	best := route.Route{Path: "/"}
	for _, r := range s.Routes {
		if hasPathPrefix(r.Path, path) && len(r.Path) >= len(best.Path) {
			best = r
		}
	}
	return best
}

// hasPathPrefix reports whether path equals prefix or lies below it, comparing whole path segments.
func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

package svcrec

import (
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/records/route"
)

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// Slots is the number of calls that one upstream runs at once.
	Slots int
	// Conns is the number of connections that one upstream takes from all entries.
	Conns   int
	Timeout time.Duration
	// ColdConcurrency is the number of calls at once that a cold upstream bears.
	ColdConcurrency int
	// ColdRate is the number of calls a second that a cold upstream bears from all entries; 0 bounds them by Cold.
	ColdRate int
	Warmup   time.Duration
	// ProbeRate is the number of probes a second that one upstream may cost; with Ask, calls spend it, and no
	// entry probes on its own.
	ProbeRate int
	// ProbesPerCall is the number of upstreams that are asked for their load before a call is placed.
	ProbesPerCall int
	// LoadPath is the path under which upstreams tell their load; empty for the default.
	LoadPath string
	// RetryPercent is the number of retries for each hundred calls.
	RetryPercent int
	// RetryBurst is the number of retries beyond that which all entries together may save up; 0 for the default of each.
	RetryBurst int
	// Queue is the number of calls that may wait in one entry.
	Queue  int
	Routes []route.Route
}

// Route returns the rules for a path: those of the longest prefix that matches.
func (s *Service) Route(path string) route.Route {
	best := route.Route{Path: "/"}
	for _, r := range s.Routes {
		if covers(r.Path, path) && len(r.Path) >= len(best.Path) {
			best = r
		}
	}
	return best
}

func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

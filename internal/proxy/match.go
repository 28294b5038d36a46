package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/records/route"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// routeMatch is where a request belongs.
type routeMatch struct {
	// rule is nil for a request that names its service in the path.
	rule    *rulrec.Rule
	service *svcrec.Service
	// pool is nil while the service of a rule is not known.
	pool  *pool.Pool
	route route.Route
	// requestURI is the path with the query, as the upstream gets it.
	requestURI string
	timeout    time.Duration
}

// matchRoute finds the rule or service of a request, or says why there is none.
func (f *Handler) matchRoute(r *http.Request) (routeMatch, string) {
	rule, known := f.Rule(r.Host, r.URL.EscapedPath())
	if !known {
		return f.matchPath(r)
	}
	if rule == nil {
		return routeMatch{}, "no rule matches the host and path"
	}
	pl := routeMatch{rule: rule, requestURI: r.URL.RequestURI(), timeout: rule.Timeout}
	pl.service, pl.pool = f.Service(pickWeighted(rule, rand.IntN))
	if pl.pool == nil {
		return routeMatch{}, ""
	}
	if pl.timeout == 0 {
		pl.timeout = pl.service.Timeout
	}
	pl.route = route.Route{Path: rule.Name, Class: class.Interactive, Retry: rule.Retry}
	return pl, ""
}

// matchPath finds the service that the first part of a path names.
func (f *Handler) matchPath(r *http.Request) (routeMatch, string) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	svc, p := f.Service(name)
	if svc == nil || p == nil {
		return routeMatch{}, "service " + strconv.Quote(name) + " is not known"
	}
	pl := routeMatch{service: svc, pool: p, route: svc.Route("/" + path), requestURI: "/" + path, timeout: svc.Timeout}
	if r.URL.RawQuery != "" {
		pl.requestURI += "?" + r.URL.RawQuery
	}
	return pl, ""
}

// pickWeighted picks the service of a call by the weights of its rule.
func pickWeighted(rule *rulrec.Rule, random func(n int) int) string {
	if len(rule.Splits) == 1 {
		return rule.Splits[0].Service
	}
	total := 0
	for _, p := range rule.Splits {
		total += p.Weight
	}
	if total == 0 {
		return ""
	}
	n := random(total)
	for _, p := range rule.Splits {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return ""
}

package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamvale/balsamvale/pkg/calls/class"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/records/route"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
	"github.com/balsamvale/balsamvale/pkg/traffic/pool"
)

// routeMatch holds the rule, service and route that a request matches.
type routeMatch struct {
	// rule is nil if the path names the service.
	rule    *rulrec.Rule
	service *svcrec.Service
	// pool is nil if the service of the matching rule is not known.
	pool     *pool.Pool
	route    route.Route
	identity identity
	// requestURI is the escaped path with the query, as sent to the upstream.
	requestURI string
	// timeout limits the time that an interactive call may take.
	timeout time.Duration
}

// matchRoute returns the match of a request. If there is none, why is the reason and text says so to the caller. If the service
// of the matching rule is not known, why is reason.None and the match has no pool.
func (h *Handler) matchRoute(r *http.Request) (m routeMatch, why reason.Reason, text string) {
	path, uri := requestTarget(r)
	rule, known := h.Rule(r.Host, path)
	if !known {
		return h.matchPath(r)
	}
	if rule == nil {
		return routeMatch{}, reason.NoRule, "no rule matches the host and path"
	}
	if rule.Defect != "" {
		return routeMatch{}, reason.Defective, "the record of the route is defective"
	}
	m = routeMatch{rule: rule, requestURI: uri, timeout: rule.Timeout}
	random := rand.IntN
	if key := h.Headers.IdempotencyKey(r.Header); key != "" {
		// A repeat must get to the service of the first request, as claims are kept for each service.
		random = func(n int) int { return int(xxhash.Sum64String(key) % uint64(n)) }
	}
	m.service, m.pool = h.Service(pickWeighted(rule, random))
	if m.pool == nil {
		return routeMatch{}, reason.None, ""
	}
	if m.timeout == 0 {
		m.timeout = m.service.Timeout
	}
	m.route = route.Route{Path: rule.Name, Class: class.Interactive, Retry: rule.Retry}
	return m, reason.None, ""
}

// requestTarget returns the path of a request, and the path with the query, as the caller wrote them: net/url would escape some
// characters and then unescape others. An absolute URI without a path stands for the root.
func requestTarget(r *http.Request) (path, uri string) {
	uri = r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(uri, "?")
	return path, uri
}

// matchPath returns the match of a request whose first path segment names the service, with the same results as
// matchRoute.
func (h *Handler) matchPath(r *http.Request) (m routeMatch, why reason.Reason, text string) {
	path, uri := requestTarget(r)
	query := strings.TrimPrefix(uri, path)
	name, path, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	svc, p := h.Service(name)
	if svc == nil || p == nil {
		return routeMatch{}, reason.UnknownService, "service " + strconv.Quote(name) + " is not known"
	}
	m = routeMatch{service: svc, pool: p, route: svc.Route("/" + path), requestURI: "/" + path + query, timeout: svc.Timeout}
	return m, reason.None, ""
}

// pickWeighted picks a service of a rule by weight with the number from 0 to n-1 that random returns; a single one is picked whatever its weight. It returns "" if
// all weights are 0.
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

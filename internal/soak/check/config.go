package check

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// servicePrefix begins the names of the records of services.
const servicePrefix = "service/"

// firstService returns when the first record of a service was written, the zero time if there is none.
func (x *index) firstService() time.Time {
	for _, c := range x.Changes {
		if strings.HasPrefix(c.Record, servicePrefix) && !c.Gone {
			return c.At
		}
	}
	return time.Time{}
}

// noDenial checks that no request gets a 3xx or 4xx of an entry's own for a service that the configuration has, or while there is no
// configuration. No disturbance excuses it: an entry that cannot know answers 503. Only 404 may follow from the configuration before
// the service was written, for as long as that may be in force. The upstreams of a soak send no such status.
func noDenial(x *index) (out []Broken) {
	keys := x.keyUses()
	for _, r := range x.Requests {
		switch {
		case r.Status < http.StatusMultipleChoices || r.Status >= http.StatusInternalServerError || r.AnswerSound:
			continue
		case r.Status == http.StatusRequestTimeout || r.Status == http.StatusMisdirectedRequest || r.Status == http.StatusTooManyRequests:
			continue
		case r.Status == http.StatusConflict || r.Status == http.StatusUnprocessableEntity:
			// The second use of an idempotency key is the caller's doing, and of two at a time either may be the first.
			if slices.ContainsFunc(keys[keyOf(r)], func(o *trail.Request) bool { return o != r && o.Sent.Before(r.Ended) }) {
				continue
			}
		}
		since, ok := x.allowed(r)
		if !ok {
			continue
		}
		b := x.broken(NoDenial, r, r.Ended, "refused with %d, and no configuration was there", r.Status)
		if !since.IsZero() {
			b.Late = r.Sent.Sub(since)
			b.Text = fmt.Sprintf("refused with %d, sent %v after its service was written", r.Status, b.Late.Round(time.Millisecond))
		}
		out = append(out, b)
	}
	return out
}

// allowed reports whether the configuration had the service of a request, without an older one that may be in force and explains the
// status, and since when. Before the first service there is no configuration, which allows nothing to be refused as wrong either.
func (x *index) allowed(r *trail.Request) (since time.Time, ok bool) {
	first := x.firstService()
	if first.IsZero() || first.After(r.Ended) {
		return time.Time{}, true
	}
	// older is set if there was a configuration without the service before it was written.
	older := false
	for _, c := range x.Changes {
		switch {
		case c.Record != servicePrefix+r.Service || c.At.After(r.Ended):
		case c.Gone:
			since, ok, older = time.Time{}, false, true
		case since.IsZero():
			var bound time.Duration
			if older = older || c.At.After(x.Begin) && c.At.After(first); older && r.Status == http.StatusNotFound {
				bound = tune.MaxConfigAge
			}
			since, ok = c.At, r.Sent.After(c.At.Add(bound))
		}
	}
	return since, ok
}

// keyOf returns the idempotency key of a request with its service and account, empty without one.
func keyOf(r *trail.Request) string {
	headers := map[string]string{}
	for _, h := range r.Headers {
		name, value, _ := strings.Cut(h, ": ")
		headers[name] = value
	}
	if headers[wire.IdempotencyKey] == "" {
		return ""
	}
	return fmt.Sprintf("%s %q %q", r.Service, cmp.Or(headers["Authorization"], headers["X-Forwarded-For"]), headers[wire.IdempotencyKey])
}

// keyUses returns the requests that used each idempotency key of a service.
func (x *index) keyUses() map[string][]*trail.Request {
	out := map[string][]*trail.Request{}
	for _, r := range x.Requests {
		if k := keyOf(r); k != "" {
			out[k] = append(out[k], r)
		}
	}
	return out
}

// inForce checks that a process that was undisturbed for the bound, like the store, has each change in force that is older.
func inForce(x *index) (out []Broken) {
	late := map[string]bool{}
	for _, v := range x.Views {
		l, from := x.lives[v.Entry], v.At.Add(-InForceBound)
		if l == nil || late[v.Entry] || l.Begin.After(from) || ended(l, v.At) || x.disturbed("store", from, v.At) || x.disturbedSince(l.Begin, entryName(l.Entry), from, v.At) {
			continue
		}
		var due trail.Change
		for _, c := range x.Changes {
			if !c.At.After(from) {
				due = c
			}
		}
		if v.Revision < due.Revision {
			late[v.Entry] = true
			started, changed := v.At.Sub(l.Begin), v.At.Sub(due.At)
			out = append(out, Broken{Promise: InForce, At: v.At, Late: min(started, changed), Text: fmt.Sprintf("%s has revision %d in force, and not %d of %s, %v after its start and %v after the change",
				v.Entry, v.Revision.Number(), due.Revision.Number(), due.Record, started.Round(time.Millisecond), changed.Round(time.Millisecond))})
		}
	}
	return out
}

// ended reports whether a process was told to exit, or exited, before a time.
func ended(l *trail.Life, at time.Time) bool {
	for _, end := range []time.Time{l.Stopped, l.Killed, l.End} {
		if !end.IsZero() && end.Before(at) {
			return true
		}
	}
	return false
}

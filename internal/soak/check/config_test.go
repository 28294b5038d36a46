package check_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/soak/check"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// refused is a request to lookup, sent at 6 s, that its entry refused with a status, and the changes of records until then.
func refused(status int, changes ...trail.Change) *trail.Trail {
	t := lookup(func(r *trail.Request, _ *trail.Run, l *trail.Life) {
		cut(r)
		r.Status, r.Outcome, r.Complete = status, "notrun", true
		l.Stopped, l.End = time.Time{}, time.Time{}
	})
	t.Runs, t.Changes = nil, changes
	return t
}

// written is a change of a record at some milliseconds, with that revision.
func written(record string, millis int) trail.Change {
	return trail.Change{Record: record, Revision: revno.Revision(millis), At: at(millis)}
}

// removed is a removal of a record.
func removed(record string, millis int) trail.Change {
	c := written(record, millis)
	c.Gone = true
	return c
}

// atBound is the time in milliseconds of the first change that the configuration by which the request is refused may lack.
const atBound = 6000 - int(tune.MaxConfigAge/time.Millisecond)

// early moves the request to 100 ms after the begin.
func early(t *trail.Trail) *trail.Trail {
	r := t.Requests[0]
	r.Sent, r.Head, r.Ended = at(100), at(200), at(200)
	return t
}

// keyed gives the request an idempotency key, and adds another request with one that was sent at some milliseconds.
func keyed(headers, others []string, millis int) func(t *trail.Trail) {
	return func(t *trail.Trail) {
		t.Requests[0].Headers = headers
		t.Requests = append(t.Requests, &trail.Request{Call: "b", Entry: "entry-1/1", Service: "lookup", Sent: at(millis), Ended: at(millis + 10), Status: 503, Headers: others})
	}
}

// viewed is a process that starts at a time in milliseconds and has revisions in force at others, with a change at 1 s.
func viewed(start int, revisions map[int]revno.Revision, changes ...trail.Change) *trail.Trail {
	t := &trail.Trail{Begin: begin, Changes: append([]trail.Change{written("service/lookup", 1000)}, changes...)}
	t.Lives = []*trail.Life{{Entry: "entry-1/1", Begin: at(start), Ready: at(start)}}
	for millis, revision := range revisions {
		t.Views = append(t.Views, trail.View{Entry: "entry-1/1", At: at(millis), Revision: revision})
	}
	return t
}

// exited adds the time at which the process got SIGTERM.
func exited(millis int) func(t *trail.Trail) {
	return func(t *trail.Trail) { t.Lives[0].Stopped, t.Lives[0].End = at(millis), at(millis+100) }
}

var denied = []check.Promise{check.NoDenial}

var denialRows = []row{
	{"404 for a service that was there from the begin", refused(http.StatusNotFound, written("service/lookup", -1000)), denied},
	{"404 for a service that was there from the begin, within the bound", early(refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", -1))), denied},
	{"404 for a service that was written within the bound", refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", atBound)), nil},
	{"404 for a service that was written just before the request", refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", 5999)), nil},
	{"404 for a service that was written before the bound", refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", atBound-1)), denied},
	{"404 that was sent within the bound and answered after it", with(refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", atBound)), func(t *trail.Trail) {
		t.Requests[0].Head, t.Requests[0].Ended = at(8400), at(8400)
	}), nil},
	{"404 for the first service, within the bound", refused(http.StatusNotFound, written("service/lookup", 5000)), denied},
	{"404 for a service that was written within the bound, on a connection of long before", with(refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", atBound-1)), func(t *trail.Trail) {
		t.Requests[0].Opened = at(100)
	}), denied},
	{"400 for a service that was written within the bound", refused(http.StatusBadRequest, written("service/order", -1000), written("service/lookup", 5999)), denied},
	{"431 for a service that was written within the bound", refused(http.StatusRequestHeaderFieldsTooLarge, written("service/order", -1000), written("service/lookup", 5999)), denied},
	{"a redirect for a service that was written within the bound", refused(http.StatusMovedPermanently, written("service/order", -1000), written("service/lookup", 5999)), denied},
	{"400 for a service that was written during the request", refused(http.StatusBadRequest, written("service/order", -1000), written("service/lookup", 6050)), nil},
	{"404 for a service that was written during the request", refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", 6050)), nil},
	{"404 for a service that was never written", refused(http.StatusNotFound, written("service/order", -1000)), nil},
	{"404 before any record", refused(http.StatusNotFound), denied},
	{"404 before the first service, with an upstream", refused(http.StatusNotFound, written("upstream/lookup-1", -1000), written("service/lookup", 6200)), denied},
	{"503 before the first service", refused(http.StatusServiceUnavailable, written("service/lookup", 6200)), nil},
	{"404 while the store and the entry are disturbed", with(with(refused(http.StatusNotFound, written("service/lookup", -1000)), fault("store", 0, 7000)), fault("entry-1", 0, 7000)), denied},
	{"404 while the processes are held", with(with(refused(http.StatusNotFound, written("service/lookup", -1000)), stall("entry-1", 900, 6050)), stall(trail.Machine, 900, 6050)), denied},
	{"404 while a planned stop lasts", with(refused(http.StatusNotFound, written("service/lookup", -1000)), exited(5000)), denied},

	{"404 for a service that was dropped", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 5000)), nil},
	{"404 for a service that was dropped during the request", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 6050)), nil},
	{"404 within the bound after the return of a service", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 3000), written("service/lookup", atBound)), nil},
	{"404 after the bound after the return of a service", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 3000), written("service/lookup", atBound-1)), denied},
	{"404 within the bound after the return of a service that was written late", refused(http.StatusNotFound, written("service/order", -1000), written("service/lookup", 1000), removed("service/lookup", 3000), written("service/lookup", atBound)), nil},
	{"404 within the bound after the second return of a service", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 1000), written("service/lookup", 2000), removed("service/lookup", 5000), written("service/lookup", 5999)), nil},
	{"404 for a service that was changed within the bound after its return before it", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 3000), written("service/lookup", atBound-1), written("service/lookup", 5000)), denied},
	{"400 within the bound after the return of a service", refused(http.StatusBadRequest, written("service/lookup", -1000), removed("service/lookup", 3000), written("service/lookup", 5000)), denied},
	{"404 after the drop of another service", refused(http.StatusNotFound, written("service/lookup", -1000), written("service/order", -1000), removed("service/order", 5000)), denied},
	{"404 for a service that was dropped after the answer", refused(http.StatusNotFound, written("service/lookup", -1000), removed("service/lookup", 6101)), denied},
	{"404 for a service that was changed within the bound", refused(http.StatusNotFound, written("service/lookup", -1000), written("service/lookup", 5000)), denied},

	{"a redirect", refused(http.StatusMovedPermanently), denied},
	{"400", refused(http.StatusBadRequest), denied},
	{"431", refused(http.StatusRequestHeaderFieldsTooLarge), denied},
	{"499", refused(499), denied},
	{"408", refused(http.StatusRequestTimeout), nil},
	{"421", refused(http.StatusMisdirectedRequest), nil},
	{"429", refused(http.StatusTooManyRequests), nil},
	{"500", refused(http.StatusInternalServerError), nil},
	{"404 that an upstream signed", with(refused(http.StatusNotFound), func(t *trail.Trail) { t.Requests[0].AnswerSound = true }), nil},
	{"404 whose body was cut", with(refused(http.StatusNotFound), func(t *trail.Trail) { t.Requests[0].Complete = false }), denied},

	{"409 without a key", refused(http.StatusConflict), denied},
	{"409 for the first use of a key", with(refused(http.StatusConflict), keyed([]string{"Idempotency-Key: k"}, []string{"Idempotency-Key: k"}, 6101)), denied},
	{"422 for one of two uses of a key at the same time", with(refused(http.StatusUnprocessableEntity), keyed([]string{"Idempotency-Key: k"}, []string{"Idempotency-Key: k"}, 6050)), nil},
	{"404 for one of two uses of a key at the same time", with(refused(http.StatusNotFound), keyed([]string{"Idempotency-Key: k"}, []string{"Idempotency-Key: k"}, 6050)), denied},
	{"409 for the second use of a key", with(refused(http.StatusConflict), keyed([]string{"Idempotency-Key: k"}, []string{"Idempotency-Key: k"}, 5950)), nil},
	{"422 for the second use of a key", with(refused(http.StatusUnprocessableEntity), keyed([]string{"Idempotency-Key: k"}, []string{"Idempotency-Key: k"}, 5950)), nil},
	{"404 for the second use of a key", with(refused(http.StatusNotFound), keyed([]string{"Idempotency-Key: k"}, []string{"Idempotency-Key: k"}, 5950)), denied},
	{"409 for a key that another account used", with(refused(http.StatusConflict), keyed([]string{"Idempotency-Key: k"}, []string{"Authorization: Bearer a", "Idempotency-Key: k"}, 5950)), denied},
	{"409 with keys of others", with(refused(http.StatusConflict), keyed([]string{"X-Idempotency-Key: k"}, []string{"X-Idempotency-Key: k"}, 5950)), denied},
}

var behind = []check.Promise{check.InForce}

var inForceRows = []row{
	{"a change in force", viewed(0, map[int]revno.Revision{9000: 1000}), nil},
	{"a change that is not in force after the bound", viewed(0, map[int]revno.Revision{9000: 999}), behind},
	{"a change that is not in force within the bound", viewed(0, map[int]revno.Revision{8999: 0}), nil},
	{"a process without configuration after the bound", viewed(3000, map[int]revno.Revision{11000: 0}), behind},
	{"a process without configuration within the bound", viewed(3000, map[int]revno.Revision{10999: 0}), nil},
	{"a process that stays behind", viewed(0, map[int]revno.Revision{9000: 0, 10000: 0, 11000: 0}), behind},
	{"a process that is behind a later change within the bound", viewed(0, map[int]revno.Revision{9999: 1000}, written("upstream/lookup-1", 2000)), nil},
	{"a process that is behind a removal", viewed(0, map[int]revno.Revision{10000: 1000}, removed("upstream/lookup-1", 2000)), behind},
	{"a process that stops", with(viewed(0, map[int]revno.Revision{9000: 0}), exited(8999)), nil},
	{"a process that was paused", with(viewed(0, map[int]revno.Revision{9000: 0}), fault("entry-1", 1000, 2000)), nil},
	{"a process that was paused long before", with(viewed(0, map[int]revno.Revision{13000: 0}), fault("entry-1", 1000, 1999)), behind},
	{"a process that started after a fault of the one before it", with(viewed(3000, map[int]revno.Revision{11000: 0}), fault("entry-1", 1000, 2500)), behind},
	{"a process on another entry than a fault", with(viewed(0, map[int]revno.Revision{9000: 0}), fault("entry-2", 1000, 2000)), behind},
	{"an outage of the store", with(viewed(0, map[int]revno.Revision{9000: 0}), fault("store", 1000, 2000)), nil},
	{"a planned disturbance", with(with(viewed(0, map[int]revno.Revision{9000: 0}), fault("entry-1", 1000, 9000)), func(t *trail.Trail) { t.Faults[0].Planned = true }), behind},
	{"a late readiness before the first service", with(viewed(-5000, nil), func(t *trail.Trail) {
		t.Lives[0].Ready = at(15999)
	}), nil},
	{"a late readiness after the first service", with(viewed(-5000, nil), func(t *trail.Trail) {
		t.Lives[0].Ready = at(16001)
	}), []check.Promise{check.ReadyInTime}},
}

var _ = Describe("All, of the configuration", func() {
	for _, r := range append(denialRows, inForceRows...) {
		It(fmt.Sprintf("finds %v in: %s", r.want, r.name), func() {
			var got []check.Promise
			for _, b := range check.All(r.trail) {
				got = append(got, b.Promise)
			}
			Expect(got).To(Equal(r.want))
		})
	}
})

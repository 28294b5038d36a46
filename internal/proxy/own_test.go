package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/outreq"
	"github.com/balsamvale/balsamvale/internal/proxy"
	"github.com/balsamvale/balsamvale/internal/wire"
	"github.com/balsamvale/balsamvale/pkg/calls/cause"
	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/calls/result"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
	"github.com/balsamvale/balsamvale/pkg/shared/basis"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// failWith makes each attempt fail with a cause.
func failWith(c cause.Cause) func(h *proxy.Handler) {
	return func(h *proxy.Handler) {
		h.Send = func(context.Context, *outreq.Request) (*http.Response, result.Result) {
			return nil, result.Result{Cause: c}
		}
	}
}

// Calls that an entry ended by itself could not be told from those that an upstream did, nor which configuration decided.
var _ = Describe("An answer of the entry's own", func() {
	cutResponse := func(h *proxy.Handler) {
		h.Send = func(context.Context, *outreq.Request) (*http.Response, result.Result) {
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)), brokenReader{})
			return &http.Response{StatusCode: http.StatusOK, ContentLength: 2 << 20, Header: http.Header{}, Body: io.NopCloser(body)}, result.Result{Status: http.StatusOK}
		}
	}
	for _, tc := range []struct {
		name, method, path string
		// header is one header field.
		header [2]string
		prep   func(h *proxy.Handler)
		// line is the message of the log line, and status is 0 if the connection ends without a whole answer.
		line   string
		status int
		why    reason.Reason
	}{
		{"to an upgrade", http.MethodGet, "/s/a", [2]string{"Connection", "Upgrade"}, nil, "early", 501, reason.Unsupported},
		{"without a configuration", http.MethodGet, "/s/a", [2]string{}, func(h *proxy.Handler) { h.Configured = func() bool { return false } }, "early", 503, reason.Unconfigured},
		{"to an unknown service", http.MethodGet, "/t/a", [2]string{}, nil, "early", 404, reason.UnknownService},
		{"to an unknown service, with an old configuration", http.MethodGet, "/t/a", [2]string{}, func(h *proxy.Handler) { h.MaxConfigAge = 1499 * time.Millisecond }, "early", 503, reason.Outdated},
		{"to an unknown service, with a configuration that is new enough", http.MethodGet, "/t/a", [2]string{}, func(h *proxy.Handler) { h.MaxConfigAge = 1500 * time.Millisecond }, "early", 404, reason.UnknownService},
		{"to an unknown route", http.MethodGet, "/t/a", [2]string{}, func(h *proxy.Handler) { h.Rule = func(string, string) (*rulrec.Rule, bool) { return nil, true } }, "early", 404, reason.NoRule},
		{"to a route whose record is defective", http.MethodGet, "/t/a", [2]string{}, func(h *proxy.Handler) {
			h.Rule = func(string, string) (*rulrec.Rule, bool) { return &rulrec.Rule{Defect: "timeout"}, true }
		}, "early", 503, reason.Defective},
		{"to a large header", http.MethodGet, "/s/a", [2]string{"X", strings.Repeat("x", headerLimit)}, nil, "early", 431, reason.HeaderTooLarge},
		{"to a large body", http.MethodPost, "/s/a", [2]string{}, func(h *proxy.Handler) { h.MaxBodyBytes = 1 }, "early", 413, reason.BodyTooLarge},
		{"to a large header, with an old configuration", http.MethodGet, "/s/a", [2]string{"X", strings.Repeat("x", headerLimit)}, func(h *proxy.Handler) { h.MaxConfigAge = 1499 * time.Millisecond }, "early", 503, reason.Outdated},
		{"to a large body, with an old configuration", http.MethodPost, "/s/a", [2]string{}, func(h *proxy.Handler) { h.MaxBodyBytes, h.MaxConfigAge = 1, 1499*time.Millisecond }, "early", 503, reason.Outdated},
		{"in a stop", http.MethodPost, "/s/a", [2]string{}, func(h *proxy.Handler) { h.Admits = func(time.Time) bool { return false } }, "early", 503, reason.Stopping},
		{"after a failure that may be a run", http.MethodPost, "/s/a", [2]string{}, failWith(cause.ConnBroken), "route", 502, reason.NotIdempotent},
		{"after refusals of upstreams", http.MethodPost, "/s/a", [2]string{}, failWith(cause.Shed), "route", 503, reason.RetryLimit},
		{"to a call without time", http.MethodPost, "/s/a", [2]string{wire.Deadline, "1ns"}, nil, "route", 503, reason.Deadline},
		{"after half a response", http.MethodGet, "/s/a", [2]string{}, cutResponse, "abort", 0, reason.ResponseCut},
		{"after an unexpected error", http.MethodGet, "/s/a", [2]string{}, func(h *proxy.Handler) { h.Rule = func(string, string) (*rulrec.Rule, bool) { panic("unexpected") } }, "panic", 0, reason.Panicked},
	} {
		It("is logged with its reason and its configuration, and counted: "+tc.name, func() {
			h, url := newHandler()
			out, set := &logBuffer{}, metrics.NewSet()
			h.Log = logs.New(out, clock.Wall(), zapcore.InfoLevel, 1)
			DeferCleanup(h.Log.Close)
			h.SetMetrics(set)
			h.Basis = func() basis.Basis { return basis.Basis{Revision: 1234, Age: 1500 * time.Millisecond} }
			if tc.prep != nil {
				tc.prep(h)
			}
			var body io.Reader
			if tc.method == http.MethodPost {
				body = strings.NewReader("xx")
			}
			req, _ := http.NewRequest(tc.method, url+tc.path, body)
			req.Header.Set(wire.IdempotencyKey, "key-1")
			if tc.header[0] != "" {
				req.Header.Set(tc.header[0], tc.header[1])
			}
			res, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
			if tc.status == 0 {
				Expect(err).To(HaveOccurred())
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(res.StatusCode).To(Equal(tc.status))
			}
			h.Log.Close()
			line := lineOf(out.String(), tc.line)
			Expect(line).To(ContainSubstring(`"mark":"key-1"`))
			if tc.line != "panic" {
				Expect(line).To(And(ContainSubstring(`"status":%d`, tc.status), ContainSubstring(`"reason":%q`, tc.why),
					ContainSubstring(`"revision":1234`), ContainSubstring(`"lag":"1.5s"`)))
			}
			if tc.line == "abort" {
				Expect(line).To(And(ContainSubstring(`"call":1`), ContainSubstring(`"text":"unexpected EOF"`)))
			}
			var text bytes.Buffer
			set.WritePrometheus(&text)
			Expect(text.String()).To(ContainSubstring(fmt.Sprintf(`balsamvale_own_answers_total{status="%d",reason=%q} 1`, tc.status, tc.why)))
			Expect(strings.Count(text.String(), "balsamvale_own_answers_total")).To(Equal(1))
		})
	}

	It("of the server is logged with the caller, and counted", func() {
		h, _ := newHandler()
		out, set := &logBuffer{}, metrics.NewSet()
		h.Log = logs.New(out, clock.Wall(), zapcore.InfoLevel, 1)
		h.SetMetrics(set)
		h.RecordServerAnswer(netip.MustParseAddrPort("10.0.0.1:99"), 431, reason.HeaderTooLarge)
		h.Log.Close()
		Expect(lineOf(out.String(), "server")).To(And(ContainSubstring(`"caller":"10.0.0.1:99"`), ContainSubstring(`"status":431`),
			ContainSubstring(`"reason":"header"`), ContainSubstring(`"revision":1`)))
		var text bytes.Buffer
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`balsamvale_own_answers_total{status="431",reason="header"} 1`))
	})
})

// brokenReader fails.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// lineOf returns the last line of a log that is a refusal, or the last with the given message if that is not "route".
func lineOf(log, msg string) string {
	found := ""
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"msg":"`+msg+`"`) && (msg != "route" || strings.Contains(line, `"step":"refuse"`)) {
			found = line
		}
	}
	return found
}

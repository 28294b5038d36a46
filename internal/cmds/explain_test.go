package cmds_test

import (
	"bytes"
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/cmds"
)

// sampleLog holds lines of two requests and a line that is not JSON, from two hosts and out of order.
const sampleLog = `
 3.2 host-b {"level":"info","ts":"2026-01-01T00:00:03.3Z","msg":"end","call":7,"mark":"a1","attempt":0,"cause":"broken","status":0,"took":"100ms","busy":-1,"pace":0}
not a log line
 1.0 host-b {"level":"info","ts":"2026-01-01T00:00:01Z","msg":"place","what":"cold","subject":"u-1","reason":"seen by e-2","share":0}
 3.2 host-b {"level":"info","ts":"2026-01-01T00:00:03.2Z","msg":"route","call":7,"mark":"a1","step":"send","reason":"credit","attempt":0,"upstream":"u-1","domain":"d","version":"v1","wait":"60ms","load":1.5,"pace":1,"age":"4ms"}
 3.2 host-b {"level":"info","ts":"2026-01-01T00:00:03.1Z","msg":"route","call":6,"mark":"a2","step":"send","reason":"lowest","attempt":0,"upstream":"u-2"}
 0.0 host-c {"level":"info","ts":"2025-12-31T23:00:00Z","msg":"place","what":"cold","subject":"u-1","reason":"long ago"}
 3.3 host-b {"level":"info","ts":"2026-01-01T00:00:03.4Z","msg":"route","call":7,"mark":"a1","step":"refuse","reason":"once","attempt":0,"upstream":"","fate":"unknown","status":502,"revision":514,"lag":"10.7s"}
 3.3 host-b {"level":"info","ts":"2026-01-01T00:00:04.1Z","msg":"early","mark":"a3","host":"h","path":"/x/","status":404,"reason":"norule","revision":514,"lag":"10.7s","text":"no rule matches the host and path"}
 3.3 host-b {"level":"info","ts":"2026-01-01T00:00:04.2Z","msg":"abort","mark":"a4","status":0,"reason":"cut","revision":514,"lag":"20ms"}
`

var _ = Describe("explain", func() {
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		app := &cmds.App{In: strings.NewReader(sampleLog), Out: &out, Err: &out}
		code := app.Run(context.Background(), append([]string{"balsamvale", "explain"}, args...))
		return code, out.String()
	}

	It("prints the lines of one request in order of time, with the recent decisions about its upstream", func() {
		code, out := run("a1")
		Expect(code).To(Equal(0))
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(4))
		for i, want := range []string{"cold u-1: seen by e-2", "send, attempt 0: credit, upstream u-1 of d, version v1, predicted 60ms from a report of age 4ms (load 1.5, pace 1)", "attempt 0 ended: broken", "fate unknown"} {
			Expect(lines[i]).To(ContainSubstring(want))
		}
	})

	for _, tc := range []struct{ id, want string }{
		{"a1", "answered 502 by revision 514 of age 10.7s"},
		{"a3", "norule for h/x/: no rule matches the host and path; answered 404 by revision 514 of age 10.7s"},
		{"a4", "cut; connection closed without a whole answer, by revision 514 of age 20ms"},
	} {
		It("prints the status of the entry's own answer to "+tc.id+", and the configuration that decided it", func() {
			code, out := run(tc.id)
			Expect(code).To(Equal(0))
			Expect(out).To(ContainSubstring(tc.want))
		})
	}

	for _, tc := range []struct {
		name string
		args []string
		code int
	}{
		{"no request ID", nil, 2},
		{"a request ID that no line has", []string{"zz"}, 3},
		{"JSON lines", []string{"--output", "json", "a1"}, 0},
	} {
		It("exits with the documented code for "+tc.name, func() {
			code, _ := run(tc.args...)
			Expect(code).To(Equal(tc.code))
		})
	}
})

package replay_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/replay"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/calls/policy"
)

const traces = "../../testdata/traces"

var _ = Describe("Traces", func() {
	files, err := replay.Files(traces)
	if err != nil {
		panic(err)
	}
	for _, file := range files {
		It("hold their bounds: "+filepath.Base(file), func() {
			if testing.Short() {
				Skip("traces run on one goroutine and take too long under the race detector")
			}
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			t, err := replay.Load(file, data)
			Expect(err).NotTo(HaveOccurred())
			var out bytes.Buffer
			_, failed, err := replay.Check(&out, t)
			Expect(err).NotTo(HaveOccurred())
			Expect(failed).To(BeZero(), out.String())
		})
	}
})

// traceTemplate is a small trace with a place for faults, short enough to compare its whole log with a golden file.
const traceTemplate = `name = "session"
promise = "the whole course of a session"
seed = 1
entries = 3
length = "300ms"
[fleet]
upstreams = 3
slots = 2
domains = 3
run = "20ms"
warm = "1s"
[load]
percent = 15
timeout = "500ms"
once = 30
keyed = 50
twice = 20
%s
[[bound]]
figure = "repeated"
`

var _ = Describe("Golden logs", func() {
	for _, tc := range []struct{ name, fault string }{
		{"steady", ""},
		{"crash", "[[fault]]\nkind = \"crash\"\nat = \"100ms\""},
		{"cold", "[[fault]]\nkind = \"cold\"\nat = \"100ms\""},
		{"domain-out", "[[fault]]\nkind = \"out\"\nat = \"100ms\"\nindex = 1"},
		{"store-down", "[[fault]]\nkind = \"store\"\nat = \"50ms\"\nlast = \"1s\""},
		{"entry-killed", "[[fault]]\nkind = \"kill\"\nat = \"100ms\"\nlast = \"5s\""},
		{"poison", "[[fault]]\nkind = \"poison\"\nat = \"100ms\""},
		{"leave-and-lost", "[[fault]]\nkind = \"leave\"\nat = \"80ms\"\n[[fault]]\nkind = \"lost\"\nat = \"50ms\"\nlast = \"1s\""},
	} {
		It("match the recorded log: "+tc.name, func() {
			t, err := replay.Load(tc.name, []byte(fmt.Sprintf(traceTemplate, tc.fault)))
			Expect(err).NotTo(HaveOccurred())
			var log strings.Builder
			s := replay.New(t, policy.LeastPredictedWait)
			s.Log = func(at time.Duration, line string) { fmt.Fprintln(&log, at.Round(time.Microsecond), line) }
			_, err = s.Run()
			Expect(err).NotTo(HaveOccurred())
			golden := filepath.Join("testdata", tc.name+".golden")
			if os.Getenv("UPDATE") != "" {
				Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
				Expect(os.WriteFile(golden, []byte(log.String()), 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(golden)
			Expect(err).NotTo(HaveOccurred())
			Expect(log.String()).To(Equal(string(want)))
		})
	}
})

var _ = Describe("Compare", func() {
	for _, tc := range []struct{ name, fault string }{
		{"nothing", ""},
		{"a cold upstream", "[[fault]]\nkind = \"cold\"\nat = \"100ms\""},
		{"a crash", "[[fault]]\nkind = \"crash\"\nat = \"100ms\""},
	} {
		It("runs every policy and the oracle, fault: "+tc.name, func() {
			t, err := replay.Load(tc.name, []byte(fmt.Sprintf(traceTemplate, tc.fault)))
			Expect(err).NotTo(HaveOccurred())
			var out bytes.Buffer
			Expect(replay.Compare(&out, t)).To(Succeed())
			for _, name := range []string{"predicted", "random", "robin", "least", "two", "oracle"} {
				Expect(out.String()).To(ContainSubstring(name + " "))
			}
		})
	}
})

var _ = Describe("Load", func() {
	for _, tc := range []struct{ name, fault, problem string }{
		{"noise that would be drawn again without end", "[[fault]]\nkind = \"noise\"\nat = \"100ms\"\nlast = \"1s\"\nfactor = 3", "every"},
	} {
		It("refuses "+tc.name, func() {
			_, err := replay.Load(tc.name, []byte(fmt.Sprintf(traceTemplate, tc.fault)))
			Expect(err).To(MatchError(tomlpb.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(tc.problem))
		})
	}
})

// FuzzLoad checks that Load does not panic on any input.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(traceTemplate, "")))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = replay.Load("t.toml", data)
	})
}

package cmds_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/cmds"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// run executes a command line, and returns its exit code and what it wrote to standard output and standard error.
func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	app := &cmds.App{Out: &o, Err: &e}
	code = app.Run(context.Background(), append([]string{"balsamvale"}, args...))
	return code, o.String(), e.String()
}

// writeFile writes a temporary file and returns its name.
func writeFile(text string) string {
	name := filepath.Join(GinkgoT().TempDir(), "f.toml")
	Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

// domain is a valid record of a failure domain.
const domain = "[[domain]]\nschema = 1\nname = \"zone-1\"\n"

var _ = Describe("The command line", func() {
	for _, tc := range []struct {
		name string
		text string
		want string
	}{
		{"an unknown key", domain + "colour = 1\n", "unknown key"},
		{"an unknown kind", "[[zone]]\nname = \"a\"\n", "unknown key"},
		{"a bad name", "[[domain]]\nschema = 1\nname = \"Zone 1\"\n", "is not a name"},
		{"a missing name", "[[domain]]\nschema = 1\n", "must be set"},
		{"an unknown schema version", "[[domain]]\nschema = 7\nname = \"a\"\n", "is not known to this release"},
		{"a missing schema version", "[[domain]]\nname = \"a\"\n", "schema version 0"},
		{"a bad duration", domain + "delay = \"soon\"\n", "is not a duration"},
		{"a duration out of range", domain + "delay = \"1h\"\n", "allowed: 0s to 10s"},
		{"a wrong type", domain + "out = \"yes\"\n", "must be true or false"},
		{"a duplicate name", domain + domain, "is defined twice"},
		{"broken TOML", "[[domain\n", "f.toml:1"},
		{"settings without required keys", "schema = 1\n", "must be set"},
		{"an upstream of an unknown service", domain + "[[upstream]]\nschema = 1\nname = \"u\"\nservice = \"s\"\ndomain = \"zone-1\"\naddr = \"10.0.0.1:1\"\nversion = \"v1\"\n", "does not exist"},
	} {
		It("rejects a file with "+tc.name, func() {
			code, out, errs := run("check", writeFile(tc.text))
			Expect(code).To(Equal(2))
			Expect(out).To(BeEmpty())
			Expect(errs).To(ContainSubstring(tc.want))
			Expect(strings.Count(errs, "\n")).To(Equal(1))
		})
	}

	for _, tc := range []struct {
		name string
		args []string
		code int
	}{
		{"version", []string{"version"}, 0},
		{"help", []string{"help"}, 0},
		{"the list of faults", []string{"demo", "--faults"}, 0},
		{"the faults of a soak", []string{"soak", "--seed", "7", "--print"}, 0},
		{"the faults of a regression case", []string{"soak", "--plan", "../../testdata/soak/stops-cut.toml", "--print"}, 0},
		{"a soak without entries", []string{"soak", "--size", "0"}, 2},
		{"a soak without time", []string{"soak", "--for", "0s"}, 2},
		{"a soak of a plan that is not there", []string{"soak", "--plan", "absent.toml"}, 2},
		{"a soak of a program that is not there", []string{"soak", "--for", "1s", "--binary", "/absent"}, 1},
		{"valid files", []string{"check", "../../examples/oyelaran/records.toml", "../../examples/oyelaran/entry.toml", "../../examples/dimaculangan/records.toml", "../../examples/dimaculangan/entry.toml"}, 0},
		{"no file", []string{"check"}, 2},
		{"a missing file", []string{"check", "no-such-file"}, 2},
		{"a bad address", []string{"get", "--store", "nowhere"}, 2},
		{"an unreachable store", []string{"get", "--store", "127.0.0.1:1"}, 4},
		{"an unknown output format", []string{"get", "--store", "127.0.0.1:1", "--output", "xml"}, 2},
		{"a trace whose bounds hold", []string{"replay", "../../testdata/traces/probes-idle.toml"}, 0},
	} {
		It("exits with the documented code for "+tc.name, func() {
			code, _, errs := run(tc.args...)
			Expect(code).To(Equal(tc.code), errs)
		})
	}

	// Reports of operators came without a version.
	for _, tc := range []struct {
		name string
		args []string
		want string
	}{
		{"version", []string{"version"}, `^balsamvale \S+\ncommit (\w+), tree (clean|changed|unknown), go\S+ \w+/\w+; processors \d+, memory limit .*, descriptors \d+; settings unknown\n$`},
		{"--version", []string{"--version"}, `^balsamvale version \S+; commit (\w+), tree (clean|changed|unknown), go\S+ \w+/\w+; processors \d+, memory limit .*, descriptors \d+; settings unknown\n$`},
		{"check", []string{"check", "../../examples/oyelaran/entry.toml"}, `^../../examples/oyelaran/entry.toml: settings are valid\n../../examples/oyelaran/entry.toml: settings digest [0-9a-f]{12}\n$`},
	} {
		It("names the build or the settings in the output of "+tc.name, func() {
			code, out, errs := run(tc.args...)
			Expect(code).To(BeZero(), errs)
			Expect(out).To(MatchRegexp(tc.want))
		})
	}

	for _, args := range [][]string{{"demo", "--for", "300ms", "--entries", "1", "--callers", "1"}, {"soak", "--for", "300ms", "--size", "1"}} {
		It("names the build and the settings of the entries in the report of "+args[0], func() {
			GinkgoT().Setenv(commandEnv, "1")
			_, out, errs := run(args...)
			Expect(out).To(MatchRegexp(`(?m)^entries run commit \w+, tree \w+, go\S+ \w+/\w+; processors \d+, .*, descriptors \d+; settings [0-9a-f]{12}$`), errs)
		})
	}

	It("fails a replay of a trace with a bound that cannot hold", func() {
		data, err := os.ReadFile("../../testdata/traces/silent.toml")
		Expect(err).NotTo(HaveOccurred())
		code, out, _ := run("replay", writeFile(strings.Replace(string(data), "most = 1000", "most = 0", 1)))
		Expect(code).To(Equal(1))
		Expect(out).To(HaveSuffix("1 passed, 1 failed\n"))
	})

	It("applies and prints records, and refuses those changed after the expected revision", func() {
		mux := http.NewServeMux()
		mux.Handle(rpc.NewStoreHandler(kvsim.New(clock.Wall(), 1)))
		srv := httptest.NewServer(mux)
		DeferCleanup(srv.Close)
		addr := strings.TrimPrefix(srv.URL, "http://")
		drained := domain + "out = true\n"
		for _, step := range []struct {
			args []string
			code int
			want string
		}{
			{[]string{"apply", "--store", addr, "--dry-run", writeFile(domain)}, 0, "+ name = \"zone-1\""},
			{[]string{"get", "--store", addr, "domain", "zone-1"}, 1, ""},
			{[]string{"apply", "--store", addr, writeFile(domain)}, 0, "written at revision 1"},
			{[]string{"apply", "--store", addr, writeFile(domain)}, 0, "unchanged at revision 1"},
			{[]string{"apply", "--store", addr, "--expect", "0", writeFile(drained)}, 3, ""},
			{[]string{"apply", "--store", addr, "--expect", "1", writeFile(drained)}, 0, "written at revision 2"},
			{[]string{"get", "--store", addr, "domain", "zone-1"}, 0, "out = true"},
			{[]string{"get", "--store", addr, "--output", "json", "domain"}, 0, `"revision":2`},
			{[]string{"status", "--store", addr}, 0, "ENTRY"},
		} {
			code, out, errs := run(step.args...)
			Expect(code).To(Equal(step.code), errs)
			Expect(out).To(ContainSubstring(step.want))
		}
	})
})

package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A run that fails for another reason than the entries of KNOWN-RED.txt must not pass the checks of the continuous integration.
func TestKnownFailures(t *testing.T) {
	const (
		known = "# comment\n\"A stop ends in time\" of internal/demux | command | seen | issue 1\n" +
			"\"A stop is early: \"soon\" or late\" of platform | command | seen | issue 1\nsoak seed 7 | command | seen | issue 1\n"
		first    = "\x1b[1m[FAIL]\x1b[0m A stop \x1b[1m[It] ends in time\x1b[0m\n"
		second   = "[FAIL] A stop is early: [It] \"soon\" or late\n"
		other    = "[FAIL] A stop [It] ends\n"
		one, two = "Summarizing 1 Failure:\n", "Summarizing 2 Failures:\n"
		suite    = "--- FAIL: TestSuite (1.00s)\nFAIL\n"
		demux    = suite + "FAIL\tgithub.com/balsamvale/balsamvale/internal/demux\t1.0s\n"
		platform = suite + "FAIL\tgithub.com/balsamvale/balsamvale/platform\t1.0s\n"
		passed   = "ok  \tgithub.com/balsamvale/balsamvale/internal/logs\t1.0s\n"
	)
	for _, tc := range []struct {
		name   string
		output string
		passes bool
	}{
		{"a known spec", one + first + demux + passed + "FAIL\n", true},
		{"known specs of two packages", one + first + demux + passed + one + second + platform, true},
		{"a spec without an entry", one + other + demux, false},
		{"a known spec and another", two + first + other + demux, false},
		{"a known spec of another package", one + first + platform, false},
		{"a known spec in one package, another in the next", one + first + demux + one + other + platform, false},
		{"fewer specs than failed", two + first + demux, false},
		{"no spec", suite + demux, false},
		{"a known spec and a function", one + first + "--- FAIL: TestOther (0.00s)\n" + demux, false},
		{"a known spec and a data race", one + first + "WARNING: DATA RACE\n" + demux, false},
		{"a known spec and a panic", one + first + "panic: nil\n" + demux, false},
		{"a known spec that panics", one + first + "[PANICKED!] A stop\n" + demux, false},
		{"a package that does not compile", one + first + demux + "FAIL\tgithub.com/balsamvale/balsamvale/platform [build failed]\n", false},
		{"a package whose vet fails", passed + "# vet: undeclared name\n", false},
		{"nothing", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			list, output := filepath.Join(dir, "known"), filepath.Join(dir, "output")
			if err := errors.Join(os.WriteFile(list, []byte(known), 0o600), os.WriteFile(output, []byte(tc.output), 0o600)); err != nil {
				t.Fatal(err)
			}
			printed, err := exec.Command("awk", "-f", ".ci/known.awk", list, output).Output()
			if passes := err == nil; passes != tc.passes {
				t.Errorf("passes = %v, want %v: %s", passes, tc.passes, printed)
			}
			if lines := strings.Count(string(printed), "known: "); lines == 0 && tc.output != "" && tc.output[0] != 'o' {
				t.Errorf("the failures are not printed: %q", printed)
			}
		})
	}
}

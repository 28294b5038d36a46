package cmds

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// printDiff prints the lines that differ between two short texts.
func printDiff(w io.Writer, before, after string) {
	old, now := lines(before), lines(after)
	for _, l := range old {
		if !slices.Contains(now, l) {
			fmt.Fprintln(w, "  -", l)
		}
	}
	for _, l := range now {
		if !slices.Contains(old, l) {
			fmt.Fprintln(w, "  +", l)
		}
	}
}

func lines(s string) []string { return strings.Split(strings.TrimSpace(s), "\n") }

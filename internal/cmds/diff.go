package cmds

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// printDiff prints the lines of before that are missing in after, and then those of after that are missing in before.
//
// It ignores the order of lines, and compares each line with all others: it is meant for short texts.
func printDiff(w io.Writer, before, after string) {
	oldLines, newLines := lines(before), lines(after)
	for _, l := range oldLines {
		if !slices.Contains(newLines, l) {
			fmt.Fprintln(w, "  -", l)
		}
	}
	for _, l := range newLines {
		if !slices.Contains(oldLines, l) {
			fmt.Fprintln(w, "  +", l)
		}
	}
}

// lines splits a text into lines, without leading and trailing space.
func lines(s string) []string { return strings.Split(strings.TrimSpace(s), "\n") }

package core

import "strconv"

// printBase is the number base in which fingerprints travel.
const printBase = 36

func formatPrint(fp uint64) string { return strconv.FormatUint(fp, printBase) }

func parsePrint(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, printBase, 64)
	return n, err == nil
}

package core

import "strconv"

// fingerprintBase is the number base in which fingerprints travel.
const fingerprintBase = 36

func formatFingerprint(fp uint64) string { return strconv.FormatUint(fp, fingerprintBase) }

func parseFingerprint(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, fingerprintBase, 64)
	return n, err == nil
}

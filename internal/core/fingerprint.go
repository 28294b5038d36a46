package core

import "strconv"

// fingerprintBase is the number base of fingerprints in the subjects of facts.
const fingerprintBase = 36

// formatFingerprint returns a fingerprint as the subject of a fact.
func formatFingerprint(fp uint64) string { return strconv.FormatUint(fp, fingerprintBase) }

// parseFingerprint returns the fingerprint that is the subject of a fact, and whether the subject is one.
func parseFingerprint(subject string) (uint64, bool) {
	fp, err := strconv.ParseUint(subject, fingerprintBase, 64)
	return fp, err == nil
}

package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
	"github.com/balsamvale/balsamvale/pkg/records/record"
)

// accountRecord converts and checks the record of a client account; errors match ErrInvalidRecord.
func accountRecord(m *pb.Account) (*record.Record, error) {
	out := &accrec.Account{Name: m.GetName(), Priority: int(m.GetRank()), HasPriority: m.Rank != nil}
	for i, text := range m.GetDigest() {
		digest, ok := ParseDigest(text)
		if !ok {
			// The text may be a key that was put in place of its digest, so it is left out.
			return nil, eris.Wrapf(ErrInvalidRecord, "digest %d of account %q is not the SHA-256 of a key in 64 hexadecimal digits", i, m.GetName())
		}
		if slices.Contains(out.Digests, digest) {
			return nil, eris.Wrapf(ErrInvalidRecord, "digest %d of account %q is there twice", i, m.GetName())
		}
		out.Digests = append(out.Digests, digest)
	}
	return &record.Record{Account: out}, nil
}

// ParseDigest reads the digest of a key, in hexadecimal digits. It reports false for another text, and for the digest of the empty key.
func ParseDigest(text string) (digest [sha256.Size]byte, ok bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(digest) {
		return digest, false
	}
	digest = [sha256.Size]byte(b)
	return digest, digest != accts.Digest("")
}

// checkKeys checks that no other client account has a key of account.
func checkKeys(account *accrec.Account, all map[string]*record.Record) error {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		other := all[name].Account
		if other == nil || other.Name == account.Name {
			continue
		}
		for i, digest := range account.Digests {
			if slices.Contains(other.Digests, digest) {
				return eris.Errorf("digest %d is that of a key of account %q", i, other.Name)
			}
		}
	}
	return nil
}

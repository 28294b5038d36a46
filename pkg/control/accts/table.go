package accts

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/balsamvale/balsamvale/pkg/records/accrec"
)

// Table is an immutable table of client accounts by the digests of their keys. A nil table has no accounts: calls need no key.
type Table struct {
	// buckets holds the keys by the first bytes of their digests.
	buckets  map[uint64][]entry
	accounts int
	keys     int
}

// entry is one key of an account.
type entry struct {
	digest  [sha256.Size]byte
	account *accrec.Account
}

// New returns a table of the given accounts, or nil if there are none. A key of several accounts is that of the first.
func New(list []*accrec.Account) *Table {
	if len(list) == 0 {
		return nil
	}
	t := &Table{buckets: map[uint64][]entry{}, accounts: len(list)}
	for _, a := range list {
		for _, digest := range a.Digests {
			if t.find(digest) == nil {
				b := bucketOf(digest)
				t.buckets[b] = append(t.buckets[b], entry{digest, a})
				t.keys++
			}
		}
	}
	return t
}

// Accounts returns the number of accounts.
func (t *Table) Accounts() int {
	if t == nil {
		return 0
	}
	return t.accounts
}

// Keys returns the number of keys of all accounts.
func (t *Table) Keys() int {
	if t == nil {
		return 0
	}
	return t.keys
}

// Digest returns the digest of a key.
func Digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Find returns the account with a key, given by its digest, or nil if there is none. The empty key belongs to no account.
//
// Callers see no difference between keys that share the beginning of a digest with a key of an account and others: whole digests
// are compared in constant time, and one comparison is made if there is nothing to compare with.
func (t *Table) Find(digest [sha256.Size]byte) *accrec.Account {
	if digest == emptyKey {
		return nil
	}
	return t.find(digest)
}

// emptyKey is the digest of the empty key, which a call without a key would present.
var emptyKey = Digest("")

func (t *Table) find(digest [sha256.Size]byte) *accrec.Account {
	bucket := t.buckets[bucketOf(digest)]
	if len(bucket) == 0 {
		bucket = nothing
	}
	var found *accrec.Account
	for i := range bucket {
		if subtle.ConstantTimeCompare(bucket[i].digest[:], digest[:]) == 1 {
			found = bucket[i].account
		}
	}
	return found
}

// nothing is compared with keys whose bucket is empty.
var nothing = make([]entry, 1)

// bucketOf returns the bucket of a digest.
func bucketOf(digest [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(digest[:]) }

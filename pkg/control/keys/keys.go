package keys

import (
	"fmt"
	"strings"

	"github.com/balsamvale/balsamvale/pkg/control/shard"
)

// Prefixes of the keys in the store.
const (
	// ControlPrefix is the prefix of all keys that every entry replicates.
	ControlPrefix = "sys/"
	// RecordPrefix is the prefix of the records that operators write.
	RecordPrefix = ControlPrefix + "rec/"
	// MemberPrefix is the prefix of the member keys of running entries.
	MemberPrefix = ControlPrefix + "member/"
	// OwnerPrefix is the prefix of the owners of the shards.
	OwnerPrefix = ControlPrefix + "duty/"
	// RolloutPrefix is the prefix of the progress of rollouts.
	RolloutPrefix = ControlPrefix + "move/"
	// ClaimPrefix is the prefix of the buckets that hold the claims of idempotency keys.
	ClaimPrefix = "claim/"
	// DutyPrefix is the prefix of the keys of duties that one entry at a time holds. They are not replicated: an entry reads them
	// when it has to.
	DutyPrefix = "job/"
)

// Record returns the key of a record of a kind, such as "service".
func Record(kind, name string) string { return RecordPrefix + kind + "/" + name }

// IsOperators reports whether a key is that of a batch, or the record of a service, a routing rule, limits or a client account.
func IsOperators(key string) bool {
	rest, ok := strings.CutPrefix(key, RecordPrefix)
	if !ok {
		return false
	}
	kind, _, _ := strings.Cut(rest, "/")
	return kind != "upstream" && kind != "domain" && kind != "move"
}

// IsOwner reports whether a key names the owner of a shard.
func IsOwner(key string) bool { return strings.HasPrefix(key, OwnerPrefix) }

// Member returns the member key of an entry.
func Member(name string) string { return MemberPrefix + name }

// Owner returns the key that names the owner of a shard.
func Owner(s shard.Shard) string { return fmt.Sprintf("%s%02d", OwnerPrefix, int(s)) }

// Holder returns the key that names the holder of a duty, and that expires with its lease.
func Holder(duty string) string { return DutyPrefix + duty + "/holder" }

// Tenure returns the key of the state of a duty.
func Tenure(duty string) string { return DutyPrefix + duty + "/state" }

// Rollout returns the key of the progress of a rollout.
func Rollout(name string) string { return RolloutPrefix + name }

// Claim returns the key of one bucket of the claims for a service.
func Claim(service string, bucket int) string {
	return fmt.Sprintf("%s%s/%02d", ClaimPrefix, service, bucket)
}

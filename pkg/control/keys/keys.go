package keys

import (
	"fmt"

	"github.com/balsamvale/balsamvale/pkg/control/shard"
)

// Prefixes of the keys.
const (
	// ControlPrefix is the prefix of all keys that every entry replicates.
	ControlPrefix = "sys/"
	// RecordPrefix is the prefix of the operators' records.
	RecordPrefix = ControlPrefix + "rec/"
	// MemberPrefix is the prefix of the running entries.
	MemberPrefix = ControlPrefix + "member/"
	// OwnerPrefix is the prefix of the shards' holders.
	OwnerPrefix = ControlPrefix + "duty/"
	// RolloutPrefix is the prefix of the moves' progress.
	RolloutPrefix = ControlPrefix + "move/"
	// ClaimPrefix is the prefix of the idempotency keys' buckets.
	ClaimPrefix = "claim/"
)

// Record returns the key of a record.
func Record(kind, name string) string { return RecordPrefix + kind + "/" + name }

// Member returns the key of an entry.
func Member(name string) string { return MemberPrefix + name }

// Owner returns the key of a shard.
func Owner(s shard.Shard) string { return fmt.Sprintf("%s%02d", OwnerPrefix, int(s)) }

// Rollout returns the key of a move's progress.
func Rollout(name string) string { return RolloutPrefix + name }

// Claim returns the key of a bucket of a service's claims.
func Claim(service string, bucket int) string {
	return fmt.Sprintf("%s%s/%02d", ClaimPrefix, service, bucket)
}

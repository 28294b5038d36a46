package keys

import (
	"fmt"

	"github.com/balsamvale/balsamvale/pkg/control/shard"
)

// Prefixes of the keys.
const (
	// Control is the prefix of all keys that every entry replicates.
	Control = "sys/"
	// Records is the prefix of the operators' records.
	Records = Control + "rec/"
	// Members is the prefix of the running entries.
	Members = Control + "member/"
	// Duties is the prefix of the shards' holders.
	Duties = Control + "duty/"
	// Moves is the prefix of the moves' progress.
	Moves = Control + "move/"
	// Claims is the prefix of the idempotency keys' buckets.
	Claims = "claim/"
)

// Record returns the key of a record.
func Record(kind, name string) string { return Records + kind + "/" + name }

// Member returns the key of an entry.
func Member(name string) string { return Members + name }

// Duty returns the key of a shard.
func Duty(s shard.Shard) string { return fmt.Sprintf("%s%02d", Duties, int(s)) }

// Move returns the key of a move's progress.
func Move(name string) string { return Moves + name }

// Claim returns the key of a bucket of a service's claims.
func Claim(service string, bucket int) string {
	return fmt.Sprintf("%s%s/%02d", Claims, service, bucket)
}

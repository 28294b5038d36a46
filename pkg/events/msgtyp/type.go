package msgtyp

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Type -linecomment

// Type is the type of a placement decision in the log.
type Type int

// The types of placement decisions.
const (
	// ShardTaken means that the entry became the owner of a shard.
	ShardTaken Type = iota // duty
	// ShardReleased means that the entry is no longer the owner of a shard.
	ShardReleased // yield
	// LeaseLost means that the store no longer knows the entry's lease, as after it expired.
	LeaseLost // lapse
	// MemberJoined means that an entry joined the fleet.
	MemberJoined // join
	// MemberGone means that an entry left the fleet or its lease expired.
	MemberGone // dead
	// DomainDrained means that a failure domain gets no new calls.
	DomainDrained // out
	// DomainRestored means that a failure domain gets calls again.
	DomainRestored // back
	// ShareChanged means that the share of a rollout's new version changed.
	ShareChanged // share
	// RolledBack means that a rollout was rolled back.
	RolledBack // reverted
	// RolloutDone means that a rollout is complete.
	RolloutDone // done
	// UpstreamCold means that an upstream is treated as cold.
	UpstreamCold // cold
	// UpstreamDraining means that an upstream gets no new calls because it is draining or its record is gone from the store.
	UpstreamDraining // leaving
	// PoisonFound means that a call with a certain fingerprint crashed an upstream.
	PoisonFound // poison
	// RecordRejected means that a record could not be decoded or is invalid, and was not put in force.
	RecordRejected // reject
	// DependencyLost means that a dependency, such as the store, no longer answers.
	DependencyLost // lost
	// DependencyRestored means that a dependency answers again.
	DependencyRestored // regain
	// AgeRefused means that a peer gives an age that no replica can have, so that its answers prove nothing.
	AgeRefused // age
	// StoreRestored means that the store came back from an older copy, in a new era.
	StoreRestored // restored
	// Synced means that the entry has received its first configuration.
	Synced // synced
)

package msgtyp

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Type -linecomment

// Type is the subject of a log line about placement.
type Type int

// Values of What.
const (
	// ShardTaken means that the entry took a shard.
	ShardTaken Type = iota // duty
	// ShardReleased means that the entry gave a shard up.
	ShardReleased // yield
	// LeaseLost means that the entry's lease ran out.
	LeaseLost // lapse
	// MemberJoined means that a member appeared.
	MemberJoined // join
	// MemberGone means that a member is gone.
	MemberGone // dead
	// DomainDrained means that a failure domain gets no new work.
	DomainDrained // out
	// DomainRestored means that a failure domain gets work again.
	DomainRestored // back
	// ShareChanged means that the share of a version changed.
	ShareChanged // share
	// RolledBack means that a move was taken back.
	RolledBack // reverted
	// RolloutDone means that a move is complete.
	RolloutDone // done
	// UpstreamCold means that an upstream counts as cold.
	UpstreamCold // cold
	// UpstreamDraining means that an upstream leaves.
	UpstreamDraining // leaving
	// PoisonFound means that a fingerprint crashed an upstream.
	PoisonFound // poison
	// RecordRejected means that a record was not put in force.
	RecordRejected // reject
	// DependencyLost means that a dependency no longer answers.
	DependencyLost // lost
	// DependencyRestored means that a dependency answers again.
	DependencyRestored // regain
	// Synced means that the entry has its first configuration.
	Synced // synced
)

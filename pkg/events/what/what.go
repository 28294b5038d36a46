package what

//go:generate go tool -modfile=../../../tools/go.mod stringer -type What -linecomment

// What is the subject of a log line about placement.
type What int

// Values of What.
const (
	// Duty means that the entry took a shard.
	Duty What = iota // duty
	// Yield means that the entry gave a shard up.
	Yield // yield
	// Lapse means that the entry's lease ran out.
	Lapse // lapse
	// Join means that a member appeared.
	Join // join
	// Dead means that a member is gone.
	Dead // dead
	// Out means that a failure domain gets no new work.
	Out // out
	// Back means that a failure domain gets work again.
	Back // back
	// Share means that the share of a version changed.
	Share // share
	// Reverted means that a move was taken back.
	Reverted // reverted
	// Done means that a move is complete.
	Done // done
	// Cold means that an upstream counts as cold.
	Cold // cold
	// Leaving means that an upstream leaves.
	Leaving // leaving
	// Poison means that a fingerprint crashed an upstream.
	Poison // poison
	// Reject means that a record was not put in force.
	Reject // reject
	// Lost means that a dependency no longer answers.
	Lost // lost
	// Regain means that a dependency answers again.
	Regain // regain
	// Synced means that the entry has its first configuration.
	Synced // synced
)

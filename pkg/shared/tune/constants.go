package tune

import "time"

// Choosing an upstream.
const (
	// Sample is the number of upstreams that one choice compares.
	Sample = 20
	// ReportDecay is the time in which the weight of a load report falls to 1/e.
	ReportDecay = 10 * time.Millisecond
	// AverageWeight is the weight of a new run time in the moving average.
	AverageWeight = 0.1
	// MinMeanWeight is the least weight of a new value in the average over all upstreams of a service: that of the last 50.
	MinMeanWeight = 0.02
	// InitialRunTime is the assumed run time of an upstream that has not answered yet.
	InitialRunTime = 5 * time.Millisecond
	// Overdue is how many run times a call may take before its age counts as evidence.
	Overdue = 3
	// RunTimeDecay is the time in which an old run time falls back to that of the service.
	RunTimeDecay = time.Second
	// FailureRateWeight is the weight of a new outcome in the moving failure rate.
	FailureRateWeight = 0.2
	// ProbeWait bounds the time that a call waits for the load of the upstreams that were asked.
	ProbeWait = 15 * time.Millisecond
	// FreshReportAge is the age up to which a report makes asking needless.
	FreshReportAge = 10 * time.Millisecond
	// ProbeRounds is the number of times that a call asks upstreams before it takes one that is not free.
	ProbeRounds = 2
	// ProbeRetryDelay is how long a call waits before it asks again, while no upstream is free.
	ProbeRetryDelay = 20 * time.Millisecond
	// ProbeBurstWindow is the time over which an entry may save up probes of one upstream.
	ProbeBurstWindow = 8 * time.Second
	// ReportDecayRuns is the number of run times in which the weight of a report falls to 1/e where calls ask for one.
	ReportDecayRuns = 2
	// ProbeTimeout bounds a probe; an answer that comes after AskWait still counts for later calls.
	ProbeTimeout = 250 * time.Millisecond
	// SlowdownDecay is the time in which an upstream's word on its pace loses its weight.
	SlowdownDecay = 300 * time.Millisecond
	// KneeUtilization is the part of its slots above which an upstream is taken to become slower.
	KneeUtilization = 0.8
	// KneeSlowdown is how much slower, as a part of the run time.
	KneeSlowdown = 0.7
	// CrossDomainBytes is the number of bytes between failure domains that count for one run time in the choice.
	CrossDomainBytes = 90 << 10
	// AnswerBytes is the assumed size of an answer in that.
	AnswerBytes = 4 << 10
	// SubsetThreshold is the number of upstreams of a service up to which an entry keeps connections to all.
	SubsetThreshold = 24
	// SubsetSize is the number that it keeps connections to beyond that.
	SubsetSize = 8
	// SubsetLocal is how many of these may stand in the entry's own failure domain.
	SubsetLocal = 6
	// Backlog is the number of calls beyond its slots that an upstream is predicted to bear.
	Backlog = 8
)

// Calls under way in one entry for a service whose calls ask.
const (
	// AdmitLimitInitial is the number of calls at the start, about the slots of an upstream for each of a few.
	AdmitLimitInitial = 8
	// AdmitLimitMin is the lowest limit, so that an entry always learns.
	AdmitLimitMin = 1
	// AdmitLimitMax is the highest limit.
	AdmitLimitMax = 64
	// AdmitLimitDecrease is what is left of the limit after an answer of a crowded upstream.
	AdmitLimitDecrease = 0.9
	// MaxCallGap bounds one gap between calls, since a service without calls is not a slow one.
	MaxCallGap = 100 * time.Millisecond
)

// Attempts of one call.
const (
	// MaxAttempts bounds the upstreams that one call is sent to.
	MaxAttempts = 4
	// MaxDepth is the number of nested services after which nothing is retried.
	MaxDepth = 16
	// MinHedgeDelay is the shortest delay before a second attempt runs beside the first.
	MinHedgeDelay = 2 * time.Millisecond
	// HedgeDelayFactor is the delay of a hedge as a multiple of the predicted wait.
	HedgeDelayFactor = 2.0
	// RetryBurst is the number of retries that a service saves up for.
	RetryBurst = 20
	// QueuePoll is the interval at which waiting calls look for an upstream anew.
	QueuePoll = 2 * time.Millisecond
	// MinRemainingTime is the shortest remaining time with which a call is worth sending.
	MinRemainingTime = time.Millisecond
)

// Circuits, crashes and connections.
const (
	// BreakerFailures is the number of failures in a row that opens a circuit.
	BreakerFailures = 3
	// BreakerMinOpen is the first time that a circuit stays open.
	BreakerMinOpen = 200 * time.Millisecond
	// BreakerMaxOpen is the longest time that a circuit stays open.
	BreakerMaxOpen = 5 * time.Second
	// MaxCrashes is the number of upstreams that one fingerprint may crash.
	MaxCrashes = 2
	// PoisonTTL is how long a fingerprint stays refused.
	PoisonTTL = time.Minute
	// ConnProvenAge is the age up to which the last byte read proves a connection live.
	ConnProvenAge = 500 * time.Millisecond
	// AliveIdle, AliveEvery and AliveCount find a connection that went silent within 3 s, by TCP keep-alive.
	KeepAliveIdle = 1500 * time.Millisecond
	// KeepAliveInterval is the interval of unanswered probes.
	KeepAliveInterval = 500 * time.Millisecond
	// KeepAliveCount is the number of unanswered probes that ends a connection.
	KeepAliveCount = 3
	// CallerIdleTimeout is how long a caller may leave a connection unused.
	CallerIdleTimeout = time.Minute
	// MaxPipelined is the number of pipelined requests of one connection that run at once; browsers pipelined up to 6 or 8.
	MaxPipelined = 8
	// MaxHeadBytes is the largest head of a request in bytes that is framed before the server sees it.
	MaxHeadBytes = 72 << 10
	// ConnIdleTimeout is how long an unused connection is kept.
	ConnIdleTimeout = 10 * time.Second
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// MaxBufferedResponse is the largest answer body in bytes that is read as a whole before it is passed on.
	MaxBufferedResponse = 64 << 10
	// MinRetryAfter is the shortest time after which a refused caller is told to come back.
	MinRetryAfter = 50 * time.Millisecond
	// MaxReplayBody is the largest request body in bytes that is kept for a second attempt.
	MaxReplayBody = 512 << 10
)

// Duties, credits and probes.
const (
	// ShardCount is the number of parts into which the duties are split.
	ShardCount = 32
	// LeaseTTL is the life of an entry's lease in the store.
	LeaseTTL = 6 * time.Second
	// MemberTTL is the life of the lease of an entry that stands for no duties.
	MemberTTL = 30 * time.Second
	// LeaseScaleEntries is the number of entries from which leases grow longer with the fleet.
	LeaseScaleEntries = 32
	// LeaseMargin is the part of a lease that its holder does not use.
	LeaseMargin = time.Second
	// CreditTTL is how long a credit may be used, and so how long a new owner grants none.
	CreditTTL = 2 * time.Second
	// CreditMargin is the part of a credit's life that is left for giving the call up.
	CreditMargin = 100 * time.Millisecond
	// MaxCredits bounds the credits that one request may bring.
	MaxCredits = 4
	// MinWatchers is the number of entries of a small fleet that watch the store; others hear from them.
	MinWatchers = 4
	// EntriesPerWatcher is the number of entries for each further one that watches.
	EntriesPerWatcher = 32
	// WatchPause is the pause after news, so that one watch brings all that changes within a moment.
	WatchPause = 250 * time.Millisecond
	// MaxPeerStaleness is the age of its knowledge at which an entry watches the store itself.
	MaxPeerStaleness = 1500 * time.Millisecond
	// LoadPath is where upstreams tell their load unless their service says otherwise.
	LoadPath = "/load"
	// ProbeReportAge is the age of the last report at which a healthy upstream is probed.
	ProbeReportAge = 5 * time.Second
	// DrainCloses is the number of connections closed in a row that count as leaving; servers
	// that bound the requests of a connection close single ones.
	DrainCloses = 3
	// DrainTTL is how long word of a leaving upstream lasts.
	DrainTTL = 30 * time.Second
)

// Control and exchange.
const (
	// Tick is the interval of control's timer.
	Tick = 50 * time.Millisecond
	// GossipInterval is the interval of exchanges with a random peer.
	GossipInterval = 500 * time.Millisecond
	// Fanout is the number of peers that urgent facts go to at once.
	Fanout = 3
	// MaxFacts bounds the facts in one message.
	MaxFacts = 64
	// MaxChanges bounds the changes in one message.
	MaxChanges = 512
	// Tombstones is the number of removed keys that are remembered.
	Tombstones = 4096
	// MaxPageItems bounds the items in one page of a listing.
	MaxPageItems = 1000
	// WatchTimeout is how long a watch waits for a change.
	WatchTimeout = 2 * time.Second
	// StoreTimeout bounds a store call other than a watch.
	StoreTimeout = time.Second
	// MinBackoff and BackoffMost bound the pause after a failed store call.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest pause after a failed store call.
	MaxBackoff = 2 * time.Second
	// ReannounceGrace is the time after an outage of the store in which upstreams whose leases lapsed announce themselves again.
	ReannounceGrace = 2 * time.Second
	// MinProcessPause is the shortest gap in an entry's own activity that counts as a pause.
	MinProcessPause = 250 * time.Millisecond
	// PeerTimeout bounds an exchange.
	PeerTimeout = time.Second
	// EventQueueSize is the number of reports that wait for control before more are dropped.
	EventQueueSize = 1024
)

// Claims of idempotency keys.
const (
	// ClaimBuckets is the number of store keys that the claims of a service share.
	ClaimBuckets = 2
	// ClaimFlushDelay is how long the end of a call may wait to be written along with other claims.
	ClaimFlushDelay = 200 * time.Millisecond
	// DuplicatePollInterval is the interval at which a duplicate looks for the answer of the running call.
	DuplicatePollInterval = 50 * time.Millisecond
	// ClaimWriteRate is the number of writes a second that the claims of all entries may take.
	ClaimWriteRate = 200
	// ClaimBurst is the number of writes that an entry saves up for.
	ClaimBurst = 20
	// ClaimTTL is how long a claim and its answer are remembered.
	ClaimTTL = 2 * time.Minute
	// MaxClaimAttempts bounds the compare-and-swaps that one group of claims may take.
	MaxClaimAttempts = 8
	// MaxClaimErrors is the number of store calls in a row that fail before waiting claims are refused.
	MaxClaimErrors = 3
	// ClaimTimeout bounds the time for making a claim.
	ClaimTimeout = 2 * time.Second
	// MaxBucketClaims is the number of claims in one bucket, to stay below the store's largest value.
	MaxBucketClaims = 5000
	// MaxClaimResponse is the largest answer body in bytes that a claim remembers.
	MaxClaimResponse = 1 << 10
)

// Judging a new version.
const (
	// CanaryRateWeight is the weight of a new outcome in the old version's rates.
	CanaryRateWeight = 0.1
	// CanaryBaselineCalls is the number of calls of the old version that slowness is measured against.
	CanaryBaselineCalls = 10
	// CanaryQuantileStep is the step of the tracked quantile as a part of its value.
	CanaryQuantileStep = 0.05
	// CanarySlowQuantile is the quantile of the old version's times that counts as slow.
	CanarySlowQuantile = 0.95
	// CanarySlowFactor is how far beyond that quantile an answer has to be to count as slow.
	CanarySlowFactor = 1.3
	// CanaryMinRouteCalls is the number of calls of the old version that make it a measure.
	CanaryMinRouteCalls = 50
	// CanaryMeanFactor is how many times the mean of all routes an answer takes that is slow on any of them.
	CanaryMeanFactor = 3
	// CanaryGoodFailureRate and JudgeBadFails are the failure rates of a good and of a bad version.
	CanaryGoodFailureRate = 0.01
	// CanaryBadFailureRate is the failure rate that a bad version has at least.
	CanaryBadFailureRate = 0.2
	// CanaryGoodSlowRate and JudgeBadSlow are the shares of slow answers of a good and of a bad version.
	CanaryGoodSlowRate = 0.1
	// CanaryBadSlowRate is the share of slow answers that a bad version has at least.
	CanaryBadSlowRate = 0.5
	// CanaryCommonSlowRate is the rate of slow answers of the old version from which slowness has a common cause.
	CanaryCommonSlowRate = 0.25
	// CanaryLLRLimit is the sum of log likelihood ratios that convicts a version.
	CanaryLLRLimit = 7.0
	// CanaryMinUpstreams is the number of upstreams that convict a version.
	CanaryMinUpstreams = 2
	// CanaryMaxUpstreamPart is the largest part of the evidence that may come from one upstream.
	CanaryMaxUpstreamPart = 0.6
	// PooledMinEntries is the number of entries from which a few judge a version for all; each needs some 5 bad calls of its own
	// to convict one, which up to 32 entries is less than users allow a bad version.
	PooledMinEntries = 33
	// PooledReportGap is the time for each entry of the fleet between two reports of one entry, so that 100 come a second.
	PooledReportGap = 10 * time.Millisecond
	// PooledEvaluators is the number of entries that judge for all, so that one may be lost.
	PooledEvaluators = 2
	// RollbackTTL is how long entries remember that a move was taken back without the store.
	RollbackTTL = 24 * time.Hour
	// RolloutTurnDelay is how long each further entry in a service's order leaves a step to those before it.
	RolloutTurnDelay = 700 * time.Millisecond
	// RolloutShiftPart is the part of a move's time by which all traffic has moved.
	RolloutShiftPart = 0.9
)

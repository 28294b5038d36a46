package tune

import "time"

// Choice of an upstream.
const (
	// SampleSize is the number of upstreams that one choice compares.
	SampleSize = 20
	// ReportDecay is the time in which the weight of a load report falls to 1/e, for services whose calls send no probes.
	ReportDecay = 10 * time.Millisecond
	// AverageWeight is the weight of a new value in a moving average, such as that of run times.
	AverageWeight = 0.1
	// MinMeanWeight is the lowest weight of a new value in an average over all upstreams of a service; 0.02 averages
	// about the last 50 values.
	MinMeanWeight = 0.02
	// InitialRunTime is the run time assumed for a service until responses have been measured.
	InitialRunTime = 5 * time.Millisecond
	// OverdueFactor is how many times the predicted run time a call in flight may take before its age raises the prediction for
	// its upstream.
	OverdueFactor = 3
	// RunTimeDecay is the time in which the weight of an upstream's run time falls to 1/e, relative to the service's
	// average.
	RunTimeDecay = time.Second
	// FailureRateWeight is the weight of a new outcome in the moving failure rate.
	FailureRateWeight = 0.2
	// ProbeWait bounds the time that a call waits for the responses to its probes.
	ProbeWait = 15 * time.Millisecond
	// FreshReportAge is the age below which a load report makes a probe unnecessary.
	FreshReportAge = 10 * time.Millisecond
	// ProbeRounds is the number of rounds of probes after which a call backs off, or takes an upstream that is not free.
	ProbeRounds = 2
	// ProbeRetryDelay is how long a call waits before it probes again while no upstream is free.
	ProbeRetryDelay = 20 * time.Millisecond
	// ProbeBurstWindow is the time over which an entry may save up probes of one upstream.
	ProbeBurstWindow = 8 * time.Second
	// ReportDecayRuns is the number of run times in which the weight of a load report falls to 1/e, for services whose
	// calls send probes.
	ReportDecayRuns = 2
	// ProbeTimeout bounds a probe; a response that arrives after ProbeWait still counts for later calls.
	ProbeTimeout = 250 * time.Millisecond
	// SlowdownDecay is the time in which the weight of a reported slowdown falls to 1/e.
	SlowdownDecay = 300 * time.Millisecond
	// KneeUtilization is the fraction of its slots in use above which an upstream is assumed to slow down.
	KneeUtilization = 0.8
	// KneeSlowdown is the extra time that a call is assumed to take above KneeUtilization, as a fraction of the run time.
	KneeSlowdown = 0.7
	// CrossDomainBytes is the number of bytes sent between failure domains that cost one average run time in the choice
	// of an upstream.
	CrossDomainBytes = 90 << 10
	// AssumedResponseBytes is the response size in bytes assumed for CrossDomainBytes.
	AssumedResponseBytes = 4 << 10
	// SubsetThreshold is the number of upstreams of a service, or of one version if a rollout divides its calls, up to which
	// an entry keeps connections to all of them. It always does so for a service whose calls send no probes.
	SubsetThreshold = 24
	// SubsetSize is the number of upstreams that an entry keeps connections to if there are more.
	SubsetSize = 8
	// SubsetLocal is how many of these may be in the entry's own failure domain.
	SubsetLocal = 6
	// SharedSubsetEntries is the number of entries that send to an upstream where a large fleet shares upstreams of few slots, up
	// to SubsetThreshold upstreams for an entry. With 5, some upstreams got twice the mean of the calls, and some none.
	SharedSubsetEntries = 15
	// TurnOpen is how long an entry's turn to send a call to an upstream with a limit stays open.
	TurnOpen = 1500 * time.Millisecond
	// MaxBacklog is how many calls beyond its slots may be predicted at an upstream before it gets no more.
	MaxBacklog = 8
)

// Estimate of the free places at upstreams that several entries share.
const (
	// SharedSlotEntries is the number of entries for each slot of an upstream that send to it above which entries guard the room
	// there. Fleets of up to 1.43 lost no calls without that.
	SharedSlotEntries = 1.5
	// RoomGuardLosses is the number of calls lost for lack of room from which no call goes to an upstream without room. One alone
	// may have another cause.
	RoomGuardLosses = 2
	// RoomMaxMargin is the highest margin.
	RoomMaxMargin = 4
	// RoomMarginStep is what a call that found no room adds to the margin.
	RoomMarginStep = 0.5
	// RoomMarginHalfLife is the time in which what misses have added to the margin falls to half.
	RoomMarginHalfLife = 20 * time.Second
	// RoomReportAge is the age from which a report says nothing about the room at an upstream.
	RoomReportAge = time.Second
	// RoomTransit is the time that reports and calls are taken to be on their way.
	RoomTransit = 5 * time.Millisecond
	// RoomLossGrace is the time for which a report may lack a call that was sent before.
	RoomLossGrace = 100 * time.Millisecond
)

// Limit on the admitted calls in one entry, for a service whose calls send probes.
const (
	// SharedStartEntries is the number of entries from which initial values are an entry's part of what the fleet may use. The
	// constants below were measured with 12 to 17 entries.
	SharedStartEntries = 24
	// AdmitLimitInitial is the limit at the start, about the slots of a few upstreams.
	AdmitLimitInitial = 8
	// AdmitLimitMin is the lowest limit; it lets an entry keep learning from responses.
	AdmitLimitMin = 1
	// AdmitLimitMax is the highest limit.
	AdmitLimitMax = 64
	// AdmitLimitDecrease is the factor by which a response from a crowded upstream lowers the limit.
	AdmitLimitDecrease = 0.9
	// MaxCallGap caps each gap in the average time between the ends of admitted calls, because a service without calls is
	// not a slow one.
	MaxCallGap = 100 * time.Millisecond
)

// Order and refusal of the calls that wait for admission.
const (
	// MaxWorkRules bounds the routing rules of a service whose run times an entry keeps apart.
	MaxWorkRules = 64
	// MinWorkSamples is the number of calls from which the run time of a routing rule is used. An entry of a large fleet gets
	// about one call of a kind in a second.
	MinWorkSamples = 5
	// WorkFactor is the ratio of two mean run times from which calls of a service differ in work.
	WorkFactor = 1.5
	// WorkDeviations is the number of standard deviations by which the means must differ besides.
	WorkDeviations = 4
	// MaxKinds bounds the kinds of calls of a service, by routing rule and priority, that an entry counts.
	MaxKinds = 64
	// KindDecay is the time in which the weight of an arrival or admission falls to 1/e.
	KindDecay = 2 * time.Second
	// KindMemory is the time since the last call of a kind after which the kind no longer counts as present.
	KindMemory = 5 * time.Second
	// StarvedPart is the part of the share of all calls that are served below which a kind starves. It is above a quarter,
	// which is the promise, as a kind is noticed only once it is below.
	StarvedPart = 0.3
	// PriorityMargin is by how much a kind of a lower priority may be served more often than one of a higher priority.
	PriorityMargin = 0.05
	// YieldPart is the part of the limit that lower priorities leave free while another entry loses calls of a higher one.
	YieldPart = 0.25
	// PressureGap is the shortest time between two reports of an entry that it loses calls, about that of the exchanges that carry
	// them.
	PressureGap = 500 * time.Millisecond
	// PressureTTL is how long such a report holds. The exchanges of 96 entries take an estimated 1.5 s to reach all.
	PressureTTL = 2 * time.Second
	// MinReserveRate is the number of calls in a second below which no place is reserved for a kind: one call counts for 3 s.
	MinReserveRate = 0.1
	// HopelessInterval is the time between two searches for waiting calls whose deadline will pass, which sort the calls.
	HopelessInterval = 20 * time.Millisecond
	// HopelessFactor is how much faster than lately waiting calls may be admitted before one counts as hopeless. With 1, calls
	// were refused that the end of a burst would have let through.
	HopelessFactor = 2
	// MinFreeShare is the smallest share of the limit that predictions leave to the calls of a low priority.
	MinFreeShare = 0.1
)

// Attempts, retries and queueing of a call.
const (
	// MaxAttempts is the number of attempts, each at another upstream, after which a call is not retried.
	MaxAttempts = 4
	// MaxDepth is the depth of nested services at which calls are no longer retried.
	MaxDepth = 16
	// MinHedgeDelay is the shortest delay before a hedge is sent.
	MinHedgeDelay = 2 * time.Millisecond
	// HedgeDelayFactor is the delay of a hedge as a multiple of the predicted wait.
	HedgeDelayFactor = 2.0
	// RetryBurst is the number of retries that the budget of a service saves up by default.
	RetryBurst = 20
	// QueuePoll is the interval at which waiting calls look for an upstream again.
	QueuePoll = 2 * time.Millisecond
	// MinRemainingTime is the shortest time before its deadline at which a call is still worth sending.
	MinRemainingTime = time.Millisecond
)

// Circuit breakers, poison calls, connections and body sizes.
const (
	// BreakerFailures is the number of consecutive failures that opens a circuit.
	BreakerFailures = 3
	// BreakerMinOpen is how long a circuit stays open the first time.
	BreakerMinOpen = 200 * time.Millisecond
	// BreakerMaxOpen is the longest time that a circuit stays open before a trial.
	BreakerMaxOpen = 5 * time.Second
	// MaxCrashes is the number of upstream crashes after which calls with the same fingerprint are refused.
	MaxCrashes = 2
	// PoisonTTL is how long after the last crash calls with the same fingerprint stay refused.
	PoisonTTL = time.Minute
	// ConnProvenAge is the time since the last byte was read up to which a connection counts as live.
	ConnProvenAge = 500 * time.Millisecond
	// KeepAliveIdle is the idle time before the first TCP keep-alive probe. KeepAliveIdle, KeepAliveInterval and
	// KeepAliveCount together detect a silent connection within 3 s.
	KeepAliveIdle = 1500 * time.Millisecond
	// KeepAliveInterval is the interval between unanswered keep-alive probes.
	KeepAliveInterval = 500 * time.Millisecond
	// KeepAliveCount is the number of unanswered keep-alive probes that ends a connection.
	KeepAliveCount = 3
	// CallerIdleTimeout is how long a caller may leave a connection unused.
	CallerIdleTimeout = time.Minute
	// MaxPipelined is the number of pipelined requests of one connection served at once; browsers pipelined up to 6 or 8.
	MaxPipelined = 8
	// ConnMemory is what an open connection of a caller takes, in bytes: its buffers and goroutines.
	ConnMemory = 40 << 10
	// PipelinedMemory is what each further request of a connection takes that is served at once, in bytes, without its bodies.
	PipelinedMemory = 64 << 10
	// MaxHeadBytes is the highest limit for a request head in bytes that an entry serves.
	MaxHeadBytes = 1 << 20
	// HeadSlack is how many bytes a head may be above its limit and still be read, as optional white space in it does not count.
	HeadSlack = 8 << 10
	// FreeHeadBytes is the size in bytes up to which a head counts as part of its connection or call.
	FreeHeadBytes = 64 << 10
	// FreeBlockBytes takes the place of FreeHeadBytes for a header list of HTTP/2, which is decoded twice.
	FreeBlockBytes = 16 << 10
	// FieldMemory is what a header field takes beyond its text, in bytes.
	FieldMemory = 128
	// ServerHeadBytes is the limit of the HTTP server itself. HTTP/2 counts 32 bytes more for each field, so that it is above
	// MaxHeadBytes.
	ServerHeadBytes = 4 * MaxHeadBytes
	// ConnIdleTimeout is how long an unused connection to an upstream is kept.
	ConnIdleTimeout = 10 * time.Second
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// MaxBufferedResponse is the largest response body in bytes that is read completely before it is passed on.
	MaxBufferedResponse = 64 << 10
	// MaxHeldResponse is the largest response body in bytes that is read completely while its caller waits for earlier responses.
	MaxHeldResponse = 256 << 10
	// MinRetryAfter is the shortest time after which a refused caller is told to retry.
	MinRetryAfter = 50 * time.Millisecond
	// MaxReplayBody is the largest request body in bytes that is kept for further attempts.
	MaxReplayBody = 512 << 10
)

// Shards, leases, credits, watches and probes.
const (
	// ShardCount is the number of shards that upstreams are divided into.
	ShardCount = 32
	// LeaseTTL is the lifetime of an entry's lease in a small fleet, while shards need owners.
	LeaseTTL = 6 * time.Second
	// MemberTTL is the lifetime of an entry's lease while no shard needs an owner.
	MemberTTL = 30 * time.Second
	// LeaseScaleEntries is the number of entries for each LeaseTTL in the lifetime of a lease, so that leases are longer in
	// a large fleet.
	LeaseScaleEntries = 32
	// LeaseMargin is the part of a lease, at its end, that the holder does not use.
	LeaseMargin = time.Second
	// CreditTTL is how long a credit may be used, and so how long a new shard owner issues none.
	CreditTTL = 2 * time.Second
	// CreditMargin is the part of a credit's lifetime, at its end, that is left for canceling the call.
	CreditMargin = 100 * time.Millisecond
	// MaxCredits bounds the credits issued for one request.
	MaxCredits = 4
	// MinWatchers is the number of entries that watch the store in a small fleet; the others receive the changes from them.
	MinWatchers = 4
	// EntriesPerWatcher is the number of entries for each additional one that watches the store.
	EntriesPerWatcher = 32
	// WatchPause is the pause after a watch that returned changes; the next watch then returns all changes made in the
	// meantime.
	WatchPause = 250 * time.Millisecond
	// MaxWatchPause is the longest average of this pause, in a fleet with many watchers.
	MaxWatchPause = 750 * time.Millisecond
	// MaxPeerStaleness is the age of the configuration received from peers beyond which an entry watches the store itself.
	MaxPeerStaleness = 1500 * time.Millisecond
	// MaxConfigAge is the time within which a change is in force on every entry, unless the settings say otherwise.
	MaxConfigAge = 2 * time.Second
	// MaxProofAge is the age that an entry gives a replica which is not known to have matched the store, and above which an age is
	// not taken for one. It is longer than all ages that settings allow, and entries of all builds can add to it.
	MaxProofAge = 48 * time.Hour
	// DefaultLoadPath is the path of the load report, unless the service sets another for the probes that calls send.
	DefaultLoadPath = "/load"
	// ProbeReportAge is the age of the last load report from which a healthy upstream is probed.
	ProbeReportAge = 5 * time.Second
	// DrainCloses is the number of consecutive closed connections after which an upstream counts as draining; servers
	// that limit the requests of a connection close single ones.
	DrainCloses = 3
	// DrainTTL is how long the fact that an upstream is draining stays valid.
	DrainTTL = 30 * time.Second
)

// Control, gossip and store calls.
const (
	// Tick is the interval of control's timer.
	Tick = 50 * time.Millisecond
	// GossipInterval is the average interval between exchanges with a random peer.
	GossipInterval = 500 * time.Millisecond
	// LargeFleetEntries is the number of entries from which those that join and leave are not pushed in any fleet.
	LargeFleetEntries = 60
	// DomainFleetEntries is the number of entries from which exchanges keep to the failure domain, if there are several domains and
	// MinDomainEntries entries for each.
	DomainFleetEntries = 24
	// MinDomainEntries is the mean number of entries of a domain from which they can pass news on to each other quickly.
	MinDomainEntries = 3
	// DomainRelays is the number of entries of a domain that exchange with other domains; with 2, one may fail.
	DomainRelays = 2
	// DomainPartners is the number of entries of its domain that an entry exchanges with, besides those that watch the store. News
	// reach all entries by way of partners of partners, and a kept connection to each costs memory and keep-alive probes.
	DomainPartners = 6
	// AvoidTime is how long an entry prefers other partners to one that did not answer.
	AvoidTime = 5 * time.Second
	// AskWatcherAge is the age of the configuration from which an entry asks one that watches the store in each exchange.
	AskWatcherAge = 600 * time.Millisecond
	// FirstWatchRenew is the age of the replica at which the first watcher of each failure domain ends a watch after changes.
	FirstWatchRenew = 800 * time.Millisecond
	// FallbackStaleness is the age of the configuration from which an entry exchanges with all of the fleet, since its domain may be cut
	// off from the store. It is below MaxPeerStaleness, from which it asks the store.
	FallbackStaleness = 1200 * time.Millisecond
	// Fanout is the number of peers that facts and store changes are pushed to between exchanges.
	Fanout = 3
	// MaxPushBytes is the size in bytes of the values in changes up to which peers get them without asking. Larger changes
	// take a noticeable time on a slow link, so that peers get them once.
	MaxPushBytes = 16 << 10
	// MaxTransfers is the number of larger changes that an entry sends within TransferWindow. Others get them from the peers
	// that have received them.
	MaxTransfers = 4
	// TransferWindow is the time that MaxTransfers refers to.
	TransferWindow = time.Second
	// FetchTimeout is the time after which an entry that has asked a peer for changes asks another one.
	FetchTimeout = time.Second
	// SeedDelay is how long an entry that starts waits for the store before it asks a seed for the state of the fleet, and
	// for the answer of one seed before it asks the next.
	SeedDelay = 250 * time.Millisecond
	// MaxFacts bounds the facts in one digest.
	MaxFacts = 64
	// MaxChanges is the number of store changes after which the answer to an older revision ends at the next revision. A
	// full delta has no such limit.
	MaxChanges = 512
	// MaxTombstones is the number of remembered tombstones beyond which the oldest are dropped, down to half of it.
	MaxTombstones = 4096
	// MaxPageItems bounds the items in one page of a store listing.
	MaxPageItems = 1000
	// WatchTimeout is how long a watch waits for a change in a small fleet. It is below MaxPeerStaleness, because the entries
	// that do not watch know only what the last responses to watches have confirmed.
	WatchTimeout = time.Second
	// MaxWatchTimeout is the longest wait, in a fleet with many watchers.
	MaxWatchTimeout = 2 * time.Second
	// StoreConnIdle is how long an unused connection to the store is kept. One that was in use more recently may have gone
	// silent as well, but fewer entries hold such a connection at the same time.
	StoreConnIdle = time.Second
	// PeerConnIdle is how long an unused connection to a peer is kept.
	PeerConnIdle = time.Minute
	// StoreTimeout bounds a write to the store, and the time in which a list or, beyond its wait, a watch gets no byte.
	StoreTimeout = time.Second
	// TransferTimeout bounds a list, a watch beyond its wait, and an exchange with a peer as a whole. A full list at the design
	// size takes 7 s on a link of 10 Mbit/s; meanwhile control has no other list or watch.
	TransferTimeout = 10 * time.Second
	// MinBackoff and MaxBackoff bound the backoff after a failed store call.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest backoff after a failed store call.
	MaxBackoff = 2 * time.Second
	// ReannounceGrace is the time after a store outage in which upstreams whose leases expired can announce themselves
	// again.
	ReannounceGrace = 2 * time.Second
	// RestoreGrace is the time after the store was restored from an older copy in which what was in force stays where the copy may be
	// older, since operators write again what was lost.
	RestoreGrace = 4 * time.Second
	// RestoreReannounce is the same time for upstreams that announce themselves and that the store lacks. They write within 2 s, and a
	// watch may pause for WatchPause before it tells; one that left meanwhile has to be out of use after 2.5 s.
	RestoreReannounce = 2250 * time.Millisecond
	// RestoreMemory is the same time where the copy is known to be older. Removals are remembered for as long, to tell so. It is far longer
	// than a copy is old, and than operators take to write again.
	RestoreMemory = time.Minute
	// MinLapseOutage is the shortest outage of the store in which the lease of a running upstream may expire. Upstreams renew
	// three times within the lifetime of a lease, which is 4.5 s on the platform, so two thirds are left at the least.
	MinLapseOutage = 2500 * time.Millisecond
	// MinProcessPause is the shortest gap in an entry's own activity that counts as a pause of the process.
	MinProcessPause = 250 * time.Millisecond
	// MaxMessageBytes is the largest message in bytes that is read from a peer or the store; a full list at the design size
	// has about half of that.
	MaxMessageBytes = 16 << 20
	// MinCompressedBytes is the size of an answer to a peer in bytes from which it is compressed.
	MinCompressedBytes = 16 << 10
	// PeerTimeout bounds a request to a peer for credits or its status, and the time in which an exchange makes no progress.
	PeerTimeout = time.Second
	// EventQueueSize is the number of events that wait for control before further ones are dropped; store responses and a
	// stop wait instead.
	EventQueueSize = 1024
)

// Claims of idempotency keys.
const (
	// ClaimBuckets is the number of store keys that hold the claims of one service.
	ClaimBuckets = 2
	// ClaimFlushDelay is how long the completion of a claim may wait to be written together with other claims.
	ClaimFlushDelay = 200 * time.Millisecond
	// DuplicatePollInterval is the interval at which a duplicate checks whether the running call has been answered.
	DuplicatePollInterval = 50 * time.Millisecond
	// ClaimWriteRate is the number of store writes a second allowed for the claims of all entries together.
	ClaimWriteRate = 200
	// ClaimBurst is the number of store writes that an entry may save up.
	ClaimBurst = 20
	// ClaimTTL is how long a claim and its saved response are remembered.
	ClaimTTL = 2 * time.Minute
	// MaxClaimAttempts is the number of consecutive unsuccessful store calls, reads and compare-and-swaps alike, after
	// which waiting claims are refused.
	MaxClaimAttempts = 8
	// MaxClaimErrors is the number of consecutive store calls with an error after which waiting claims are refused.
	MaxClaimErrors = 3
	// ClaimTimeout bounds the time that a call waits for its claim.
	ClaimTimeout = 2 * time.Second
	// MaxBucketClaims bounds the claims in one bucket, to keep it below the store's maximum value size.
	MaxBucketClaims = 5000
	// MaxClaimResponse is the largest response body in bytes that is saved with a claim.
	MaxClaimResponse = 1 << 10
	// MaxClaimAnswer is the largest response in bytes, with headers and trailers, that is saved with a claim.
	MaxClaimAnswer = 2 << 10
)

// Canary analysis and rollouts.
const (
	// CanaryRateWeight is the weight of a new outcome in the baseline's moving rates.
	CanaryRateWeight = 0.1
	// CanaryBaselineCalls is the number of baseline calls needed to compare a response with their mean, and the number that
	// must follow once slow responses reach CanaryLLRLimit, before they count against the version.
	CanaryBaselineCalls = 10
	// CanaryQuantileStep is the step by which the tracked quantile moves, as a fraction of its value.
	CanaryQuantileStep = 0.05
	// CanarySlowQuantile is the quantile of the baseline's response times that slow responses are compared with.
	CanarySlowQuantile = 0.95
	// CanarySlowFactor is the multiple of that quantile above which a response is slow.
	CanarySlowFactor = 1.3
	// CanaryMinRouteCalls is the number of baseline calls on a route from which the route's baseline is used.
	CanaryMinRouteCalls = 50
	// CanaryMeanFactor is the multiple of the mean over all routes above which a response is slow on any route.
	CanaryMeanFactor = 3
	// CanaryGoodFailureRate is the failure rate assumed for a good version, or twice the baseline's if that is higher.
	CanaryGoodFailureRate = 0.01
	// CanaryBadFailureRate is the lowest failure rate assumed for a bad version.
	CanaryBadFailureRate = 0.2
	// CanaryGoodSlowRate is the rate of slow responses assumed for a good version, or twice the baseline's if that is
	// higher.
	CanaryGoodSlowRate = 0.1
	// CanaryBadSlowRate is the lowest rate of slow responses assumed for a bad version.
	CanaryBadSlowRate = 0.5
	// CanaryPooledBadSlowRate is the same for the answers that all entries saw. These are many more, so that a smaller difference
	// is certain.
	CanaryPooledBadSlowRate = 0.3
	// CanaryCommonSlowRate is the baseline's rate of slow responses above which slowness is attributed to a common cause.
	CanaryCommonSlowRate = 0.25
	// CanaryLLRLimit is the cumulative log-likelihood ratio from which a version counts as bad.
	CanaryLLRLimit = 7.0
	// CanaryMinUpstreams is the number of upstreams that must show the fault, if the version runs on that many.
	CanaryMinUpstreams = 2
	// CanaryMaxUpstreamPart is the largest fraction of the evidence that may come from one upstream.
	CanaryMaxUpstreamPart = 0.6
	// PooledMinEntries is the number of entries from which a few analyze a version for all. An entry on its own needs about
	// 5 bad calls to find a version bad; if its calls are few or failures are rare, that is too many in total.
	PooledMinEntries = 2
	// PooledReportGap is the time between two evidence reports of one entry, for each entry of the fleet; 10 ms makes
	// 100 reports a second in total.
	PooledReportGap = 10 * time.Millisecond
	// PooledBaselineGaps is the number of these gaps between two reports without outcomes of the new version.
	PooledBaselineGaps = 4
	// MaxUnjudgedTimes is the largest number of response times in the outcomes of one upstream in a report.
	MaxUnjudgedTimes = 16
	// PooledEvaluators is the number of entries that analyze a version for all; with 2, one may fail.
	PooledEvaluators = 2
	// RollbackTTL is how long entries remember a rollback independently of the store.
	RollbackTTL = 24 * time.Hour
	// RolloutTurnDelay is how long an entry waits, for each entry that ranks before it for the service, before it takes a
	// due rollout step itself.
	RolloutTurnDelay = 700 * time.Millisecond
	// RolloutShiftPart is the fraction of a rollout's time by which all traffic has moved.
	RolloutShiftPart = 0.9
)

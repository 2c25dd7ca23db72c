// Package tuning holds the service's constants, each with its unit and its reason.
// What an operator may change has a key in config.Operator and takes its
// default from here. It holds no logic, and nothing specific to a site.
package tuning

import "time"

// Version is the version of the program.
const Version = "0.3.0"

// Membership and the key-value store.
const (
	// SessionTTL is how long a controller's lease in the store lasts without a
	// renewal. Short, so that the machines of a controller that has failed pass on
	// within seconds; long enough for a renewal that takes a few hundred milliseconds
	// and one that is lost.
	SessionTTL = 3500 * time.Millisecond
	// SessionRenewEvery is the pause between renewals: three tries fit in the TTL.
	SessionRenewEvery = 1000 * time.Millisecond
	// MembershipCheckEvery is the longest pause between two looks at the membership, and
	// MembershipCheckPause the least, which batches what a watch brings.
	MembershipCheckEvery = 1000 * time.Millisecond
	MembershipCheckPause = 10 * time.Millisecond
	// StoreCallTimeout bounds one call to the store other than a watch or a page of a
	// full read. The store usually answers in 10 ms, at times in a few hundred.
	StoreCallTimeout = 1500 * time.Millisecond
	// WatchHold is how long a watch may stay open. Short, so that the send
	// time of the last answered one stays recent enough to prove freshness.
	WatchHold = 1000 * time.Millisecond
	// WatchPause is the least time between two watches of a controller: it batches
	// events and bounds the controller's share of the request budget.
	WatchPause = 60 * time.Millisecond
	// BarrierPause is the least time between two read barriers of a controller; all
	// polls that arrive meanwhile share the next one.
	BarrierPause = 80 * time.Millisecond
	// BarrierWait is how long a poll waits for its read barrier before it is
	// refused. Users wait 2 s for an answer.
	BarrierWait = 1200 * time.Millisecond
	// DecisionWait is how long a submission or cancellation waits for its
	// durable write before it is refused. Users wait 5 s for an answer.
	DecisionWait = 3 * time.Second
	// BudgetShare is the part of the store's published limits that the controllers
	// plan to use; the rest absorbs clock drift and uneven shares.
	BudgetShare = 0.95
	// BudgetQueue is how many calls may wait in a controller's limiter per class
	// before new ones are refused at once.
	BudgetQueue = 64
	// ListPage is the number of keys per page of a full read: a page of
	// values of the usual size stays under the store's 512 KiB.
	ListPage = 400
	// ChunkMax is the most tasks of a chunk record: several records fit one
	// transaction of 64 KiB.
	ChunkMax = 70
	// MachinesPerGroup is the most machines whose records share a key: more save
	// writes when a fleet starts, fewer fail less often by each other's writes.
	MachinesPerGroup = 32
	// GroupsPerBatch is the most groups of machine records that are stored for
	// one decision: a few seconds of the leader's budget.
	GroupsPerBatch = 16
	// GroupSplitsPerPlan is how many machine groups that are larger than the store
	// will take the leader splits in one plan, two or more writes each, while nothing
	// else changes them.
	GroupSplitsPerPlan = 2
	// GroupFillShare is the part of the value limit that a group of machine
	// records may fill.
	GroupFillShare = 0.9
	// WriteReserve is the number of writes that claims and releases leave in the
	// budget for submissions, which then never wait behind them.
	WriteReserve = 1.0
	// ReleaseGather is how long the ends of tasks of one chunk are gathered
	// before they are stored in one write; a user expects a job's end within 3 s,
	// so the write that ends a job goes at once.
	ReleaseGather = 1500 * time.Millisecond
	// ReleaseOverdue is when a gathered release goes before new claims.
	ReleaseOverdue = 12 * time.Second
	// RebalancePause separates two rebalances of a team's quota under the same
	// membership: the two writes of each fail the admissions that are under way,
	// and take from the write budget.
	RebalancePause = 3 * time.Second
	// TransferPause separates two transfers of a team's share by the same controller:
	// its last one is read, and used, by then.
	TransferPause = 250 * time.Millisecond
	// TransferPatience is how long transfers may try to end a shortfall before a
	// team's quota is rebalanced: a few of them.
	TransferPatience = 1200 * time.Millisecond
	// ReserveAfter is how long work within a guarantee lacks room before its team's
	// reservation is stored: a few passes, so that waits which end by themselves
	// cost no write.
	ReserveAfter = 3 * time.Second
	// ReserveHold is how long a reservation stays once no work lacks room, so
	// that a moment without does not begin the wait anew.
	ReserveHold = 10 * time.Second
	// ReservePause separates two changes of the reservations.
	ReservePause = 2 * time.Second
	// TransactionBytes is the most JSON that a transaction may hold; the store's
	// limit is 64 KiB.
	TransactionBytes = 48 << 10
	// ComparesPerOperation times the store's limit on operations is the most
	// compares that a transaction may have.
	ComparesPerOperation = 4
	// BytesPerKB converts the store's limits, which are in KiB.
	BytesPerKB = 1024
	// RetryPause separates tries after a rejection or a lost answer.
	RetryPause = 250 * time.Millisecond
	// StoreStaleAfter is the time without a fresh read after which a controller takes
	// the store for lost: two watches would have come back.
	StoreStaleAfter = 2500 * time.Millisecond
	// MinRenewPause keeps renewals that are overdue from following each other without
	// any pause.
	MinRenewPause = time.Millisecond
	// GroupSplitWrites is how many writes must be left in the budget for a plan to
	// split groups of machine records that are too large: nothing waits for it.
	GroupSplitWrites = 2
)

// Workers.
const (
	// DriftFactor bounds how much longer a second takes on another machine's
	// steady clock (0.05% each way, doubled for the two clocks and rounded up).
	DriftFactor = 1.002
	// LeaseMargin is added to every bound that rests on the expiry of a worker's
	// lease: timers fire late on a busy processor.
	LeaseMargin = 1500 * time.Millisecond
	// CancelMargin is kept between the expiry of the last lease that a controller cut
	// off from the store may renew and the cancellation limit. It covers the travel
	// time of heartbeats, clock drift and late timers.
	CancelMargin = 4 * time.Second
	// FencingStep is by how much an owner raises the fencing token of one of its
	// machines to fence off commands that may still be under way there. Versions that
	// know nothing of it take the next token after a membership's first: they must
	// not come upon a raised one and take it for their own.
	FencingStep = 1 << 10
	// TokenRange is how many tokens a membership has: room for fifteen steps.
	TokenRange = 16 * FencingStep
	// WorkerCallTimeout bounds a direct command.
	WorkerCallTimeout = 2 * time.Second
	// TokenAnnouncePause separates direct calls to one worker that does not answer.
	TokenAnnouncePause = 2 * time.Second
	// ConfirmAfter is how long after an answer with a command a heartbeat must show
	// its effect: workers drop answers after 4 s and send changes within half a
	// second.
	ConfirmAfter = 6 * time.Second
	// UnresponsivePause separates direct calls that probe whether a machine whose
	// heartbeats show no effect of any command receives commands again.
	UnresponsivePause = 5 * time.Second
	// QuarantineLeases is after how many lease times a machine that sends heartbeats
	// but takes no tasks is terminated.
	QuarantineLeases = 2
	// WorkerCallsMax is how many direct calls a controller has open at once; bounds
	// sockets and memory.
	WorkerCallsMax = 32
	// SilentHeartbeats is how many heartbeat intervals without any message make a
	// machine unschedulable.
	SilentHeartbeats = 2.2
	// MinUnreachable is the least time for which a controller that has told that it
	// hears no worker owns no machines, so that a shaky network does not move them
	// to and fro.
	MinUnreachable = 10 * time.Second
	// ReachabilityProbes is the number of workers that such a controller probes.
	ReachabilityProbes = 4
	// MachineFailuresMax is the number of failed tasks of different jobs, without
	// a success between, after which a machine is taken for faulty.
	MachineFailuresMax = 2
	// RetryBase and RetryCap bound the pause before a failed task is tried
	// again; it doubles with each failure.
	RetryBase = 500 * time.Millisecond
	RetryCap  = 30 * time.Second
	// RefusalPause keeps tasks off a machine that refused one for lack of capacity.
	RefusalPause = 5 * time.Second
	// ImagesKept bounds the images that a controller remembers per machine; how many
	// the machine holds follows from its disk.
	ImagesKept = 64
	// TerminationNoticeFactor is the share of a spot notice that a task must be
	// expected to fit in to be left running; notices run up to half short.
	TerminationNoticeFactor = 0.5
	// MembershipSettle is how long after a change of the membership no worker is
	// called only for it to acknowledge the fencing token: most do with their next
	// heartbeat.
	MembershipSettle = time.Second / 2
	// SentCommandHeartbeats is how many heartbeat intervals a direct command is
	// remembered: much longer than it keeps from being sent again.
	SentCommandHeartbeats = 10
	// ForgetLeases is how many leases after its last message the worker of a machine that
	// is neither ours nor stored is forgotten: its lease has surely expired by then.
	ForgetLeases = 2
)

// Placement.
const (
	// TickEvery is the pause between passes when nothing happens.
	TickEvery = 500 * time.Millisecond
	// FullScanEvery is how often a pass looks at every machine, for what follows from
	// time alone: the expiry of a lease, a machine that falls silent. Other passes
	// look at those that something has changed for.
	FullScanEvery = 500 * time.Millisecond
	// PassPause is the least time between two passes; it batches events.
	PassPause = 80 * time.Millisecond
	// RecoveryQuietHeartbeats is how many heartbeat intervals without a start that
	// waits end the recovery of a controller: what an outage has ended is released
	// with the heartbeats, and claimed again after that.
	RecoveryQuietHeartbeats = 2.0
	// StartCallGrace is how long a direct call that holds a start may be under way
	// before the answer to a heartbeat holds the start, too. Calls usually take
	// milliseconds; one that takes longer may not arrive at all.
	StartCallGrace = 500 * time.Millisecond
	// RecoveryHeartbeats is how many heartbeat intervals a machine has to send a
	// heartbeat after a restarted controller became a member. One comes within one
	// and a quarter, at a controller that redirects it, and again after the token has
	// changed.
	RecoveryHeartbeats = 4.0
	// StallAfter is how long a loop of a controller may make no progress before the
	// service manager's watchdog is no longer notified: a call to the store that
	// waits for its whole timeout, several times over.
	StallAfter = 20 * time.Second
	// ShutdownLimit is how long a graceful shutdown waits for what is under way: a
	// decision write takes DecisionWait at most, and what follows from it once more.
	ShutdownLimit = 8 * time.Second
	// ShutdownPoll is how often a graceful shutdown looks whether all has ended.
	ShutdownPoll = 20 * time.Millisecond
	// ConflictPause is the mean wait after a placement lost a race for a record;
	// jittered, so that two controllers don't conflict again.
	ConflictPause = 120 * time.Millisecond
	// JobsPerPass bounds the jobs placed in one pass, and with them the processor time
	// that it takes; all controllers together store fewer in a second.
	JobsPerPass = 24
	// PassRest is how many times as long as a pass the controller rests after it:
	// passes take little of its processor, and there is no more than a handful of
	// writes a second to decide on.
	PassRest = 30
	// PassPauseMax bounds that rest.
	PassPauseMax = 400 * time.Millisecond
	// StarvedAfter is how long a job waits without any task started before nothing of
	// its priority goes before it: half of the four minutes that users grant.
	StarvedAfter = 100 * time.Second
	// GuaranteePreemptAfter is how long work within a guarantee waits before another
	// team's borrowed work is preempted for it: by then the cloud has had time for
	// two boots.
	GuaranteePreemptAfter = 120 * time.Second
	// PreemptPause is how long a controller waits, after it preempted tasks for a job,
	// before it preempts more for it: a stop, its heartbeat and the next claim.
	PreemptPause = 8 * time.Second
	// DependencyStartDelay is what passes between the end of a job and the first start of one that
	// depends on it: the end is stored, seen, and the next job placed, claimed and
	// started.
	DependencyStartDelay = 3 * time.Second
	// TasksPerMachine bounds the tasks of a machine, and the commands of an answer to
	// it: a heartbeat with twice as many, exited ones among them, holds 64 KiB, the
	// most that a message may.
	TasksPerMachine = 400
	// TasksPerJob bounds the tasks of one job that a pass tries to place.
	TasksPerJob = 128
	// MaxRetryDoublings bounds how often the pause before a task's next try doubles:
	// RetryCap is reached long before, and the shift can't overflow.
	MaxRetryDoublings = 10
	// MaxEvictionTries bounds the tasks for which a pass looks for another machine.
	MaxEvictionTries = 16
)

// Role control. The design's figures; those marked ours may be tuned by the
// operator.
const (
	// RoleStep is the pause between evaluations of adjacent splits.
	RoleStep = 5 * time.Second
	// RoleExpand is the batch load at which a mixed-pressure move may start, which
	// takes a machine from services that are under load, too.
	RoleExpand = 1.0
	// RoleShrink is the most load that a consolidation leaves on its source.
	RoleShrink = 0.5
	// RoleMargin is the least drop in the worst ratio that a move must bring.
	RoleMargin = 0.05
	// RoleConfirmations is the number of matching proposals before a move.
	RoleConfirmations = 3
	// RoleCooldown is the least time between batch-to-service moves.
	RoleCooldown = 10 * time.Second
	// MinRoleEvidence closes the evidence window with RoleEvidenceArrivals
	// (ours; the document's is 60 s).
	MinRoleEvidence = 20 * time.Second
	// MaxRoleEvidence closes it without them (ours; the document's is 120 s).
	MaxRoleEvidence = 40 * time.Second
	// RoleEvidenceArrivals is the number of arrivals that closes the window early.
	RoleEvidenceArrivals = 10
	// RoleDemandRise is the tolerated rise of short over long demand.
	RoleDemandRise = 0.25
	// RoleShortWindow and RoleLongWindow are the horizons of that test: the
	// evidence window (ours) and the document's demand window.
	RoleShortWindow = 20 * time.Second
	RoleLongWindow  = 120 * time.Second
	// RoleUsable is the share of a machine that counts as usable for services.
	RoleUsable = 0.8
	// RoleFloor is the number of machines each role keeps.
	RoleFloor = 1
	// RoleLapse is how long after its last open job a role needs neither floor nor
	// headroom: an idle machine costs as much as a busy one.
	RoleLapse = 25 * time.Second
	// RoleStartTarget is the start-time target of batch work where the
	// settings state none (ours).
	RoleStartTarget = 15 * time.Second
)

// Cloud.
const (
	// CloudCallTimeout bounds one call to the cloud.
	CloudCallTimeout = 4 * time.Second
	// ListEvery is the pause between reads of the machine list, longer for a list of
	// more than three pages: a quarter of the smallest published call budget. A spot
	// machine that the cloud took without a notice shows here first.
	ListEvery = 2 * time.Second
	// TypesEvery is the pause between reads of the machine types; spot prices
	// move slowly.
	TypesEvery = 60 * time.Second
	// PlanEvery is the pause between autoscaling decisions.
	PlanEvery = 1 * time.Second
	// NoCapacityPause keeps a type in a zone, spot or on-demand, out of the plan after
	// the cloud had no capacity for it.
	NoCapacityPause = 20 * time.Second
	// SlowBootFactor times a type's boot time is when a machine without a heartbeat is
	// terminated: the usual range ends at 1.5.
	SlowBootFactor = 2.5
	// MinSlowBoot is the least such time.
	MinSlowBoot = 20 * time.Second
	// LateBootFactor times a type's boot time is when a machine no longer
	// counts as coming: the end of the usual range.
	LateBootFactor = 1.5
	// IdleSpot and IdleOnDemand are how long a surplus machine stays before it is
	// terminated; a terminated machine costs at least 60 s, and a new one a boot.
	IdleSpot     = 25 * time.Second
	IdleOnDemand = 30 * time.Second
	// BatchOnDemandAfter is how long a task that may use spot machines waits before
	// an on-demand one, several times as expensive, is scaled out for it.
	BatchOnDemandAfter = 15 * time.Second
	// ListLagFactor times the list's lag is how long after its first listing a
	// machine's absence from a list starts to count; the lag at times doubles.
	ListLagFactor = 3
	// MissingLists is the number of lists in a row that must omit a machine that was
	// listed before it is taken to be gone, and terminated to be certain.
	MissingLists = 2
	// MissingHeartbeats is how many heartbeat intervals a machine that lists omit must
	// be silent: heartbeats come up to a quarter late, so one was missed.
	MissingHeartbeats = 1.25
	// TerminateMax is the most machines named in one call to terminate.
	TerminateMax = 100
	// ScaleOutMax is the most machines asked for in one call.
	ScaleOutMax = 50
	// DrainableTries is how many half-empty service machines a plan looks at, at
	// least; in a large fleet, as many as may drain at once.
	DrainableTries = 6
	// DrainGroups is how many groups of machine records one plan may write to
	// terminate idle machines, and DrainGroupsMax how many while the write budget
	// has room.
	DrainGroups    = 2
	DrainGroupsMax = 6
	// DrainingShare is the part of the service machines that may drain at once, at
	// least one machine; each owner still moves its tasks one by one.
	DrainingShare = 0.03
	// TerminatedKept is how long the leader remembers that a machine was terminated,
	// while lists that are late still show it.
	TerminatedKept = 60 * time.Second
	// ServiceHeadroom is the spare service capacity kept, as a share of what
	// services hold.
	ServiceHeadroom = 0.12
	// LateBootShare is the share of machines that take much longer to boot than usual,
	// and LateBootSpread how many standard deviations of their number are scaled out
	// beside it: each machine costs a minute's price if all boot in time.
	LateBootShare  = 0.1
	LateBootSpread = 1.2
	// BatchHeadroom is the spare batch capacity kept, as a share of the mean
	// of what batch holds.
	BatchHeadroom = 0.25
	// BatchHeadroomJobs is the least headroom for batch, in job arrays of the mean
	// size: arrays arrive whole, and most are smaller than this. The headroom is of
	// spot machines only, which are cheap.
	BatchHeadroomJobs = 1.5
	// BatchSizeAlpha is the weight of a new job array in that mean.
	BatchSizeAlpha = 0.1
	// BatchHeadroomHold is how long after the last job array this headroom stays.
	BatchHeadroomHold = 60 * time.Second
	// BatchWindow is the horizon over which that mean is taken.
	BatchWindow = 60 * time.Second
	// ListStaleAfter is how old the cloud's list may be for a plan to scale by it:
	// the time of a few reads that failed.
	ListStaleAfter = 5 * ListEvery
	// SilentLeases is after how many worker leases without being heard a machine that
	// was up counts as dead, and is terminated to make sure. More than one, since
	// terminating a machine that lives ends its tasks.
	SilentLeases = 2
	// ScaleOutListedWithin is how long after its request a machine counts as scaling
	// out although no list has shown it.
	ScaleOutListedWithin = time.Minute
	// ListPagesPerInterval is how many pages of the machine list are read in
	// ListEvery: each page takes a call of the cloud's budget.
	ListPagesPerInterval = 2
)

// Calls to others.
const (
	// DialTimeout bounds a connection attempt; a machine behind a network partition
	// does not even refuse it.
	DialTimeout = 1 * time.Second
	// MaxResponse is the largest response read, in bytes; a watch response has
	// no limit of its own.
	MaxResponse = 64 << 20
	// StoreConns and CloudConns bound the connections to the store and to the cloud.
	StoreConns = 48
	CloudConns = 6
	// WorkerConns bounds the connections to one worker, and WorkerIdle how long they
	// stay open: the next call to the same worker is seldom near, and at a hundred
	// calls a second, which one controller makes when the others have failed, five
	// seconds were more sockets than are left for its own calls.
	WorkerConns = 2
	WorkerIdle  = 1 * time.Second
)

// Front ends.
const (
	// ReadTimeout bounds the reading of one request.
	ReadTimeout = 5 * time.Second
	// IdleTimeout closes connections that carry nothing; longer than the pause between
	// two polls or heartbeats.
	IdleTimeout = 30 * time.Second
	// WriteTimeout bounds the writing of one answer.
	WriteTimeout = 3 * time.Second
	// RefuseTimeout bounds the answer to a connection beyond the limit.
	RefuseTimeout = 200 * time.Millisecond
	// IntakeQueue is how many submissions may wait for their durable write at
	// once; more are refused with RetryAfter.
	IntakeQueue = 48
	// IntakeLanes is how many writes of submissions a controller has under way: a slow
	// answer of the store does not hold up the next.
	IntakeLanes = 3
	// IntakeGroup is the most submissions that one record holds.
	IntakeGroup = 32
	// PollQueue is how many polls may wait for a read barrier at once.
	PollQueue = 256
	// RetryAfter is what refused users are told to wait, in seconds.
	RetryAfter = 2
	// PeerEvery is the pause between two exchanges of status with a sibling.
	PeerEvery = 700 * time.Millisecond
	// MachineStatusEvery is how often a controller looks over its machines for what has
	// changed for its siblings.
	MachineStatusEvery = 300 * time.Millisecond
	// PeerTimeout bounds one exchange.
	PeerTimeout = 1 * time.Second
	// PeerConns bounds the connections to one sibling; forwarded requests
	// beyond it are refused at once.
	PeerConns = 16
	// ForwardTimeout bounds a user's request that is forwarded to a sibling: with a
	// barrier's wait before it, a poll still ends within 2 s.
	ForwardTimeout = 1500 * time.Millisecond
	// PeerFresh is how long a sibling's status counts as current.
	PeerFresh = 3 * time.Second
	// ConnectionShare is the share of the socket limit that the user and worker
	// side may hold; the rest is for our own calls.
	ConnectionShare = 0.8
	// CrowdedConnShare is the share of those connections from which workers'
	// connections are closed after each heartbeat.
	CrowdedConnShare = 0.6
	// MemoryShare is the share of the memory limit given to the Go runtime as
	// its soft limit; the rest covers the binary, stacks and the C library.
	MemoryShare = 0.65
	// GCPercent is how much garbage, as a share of the live memory, may pile
	// up below that limit before it is collected.
	GCPercent = 400
	// PeerViewLifetimes is for how many times as long as a status the last view of a sibling's
	// machines tells when they were heard.
	PeerViewLifetimes = 5
	// StoreLostAfter is how long after its last read this controller seems to have
	// lost the store: two watches have gone unanswered.
	StoreLostAfter = 2 * WatchHold
	// PeerConnectionsEach is how many connections of each sibling there is room for:
	// twice as many as it opens at a time.
	PeerConnectionsEach = 2 * PeerConns
	// MaxPeerBody bounds a message of a sibling. Its status lists its machines.
	MaxPeerBody = 1 << 20
	// MinConnections is the least a server has room for, whatever the settings say.
	MinConnections = 8
	// ConnectionBufferBytes is the size of each of a connection's two buffers. It bounds
	// the header of a request.
	ConnectionBufferBytes = 4096
)

// Package tuning holds the constants of the service, each with its unit and, where it is not
// obvious, its reason. Settings that an operator may change have a key in
// config.OperatorSettings and take their default from here. The package contains no logic and
// nothing specific to a site.
package tuning

import "time"

// Version is the program version that the status page, metrics and session records show.
const Version = "0.3.0"

// Membership and the key-value store.
const (
	// SessionTTL is how long a controller's lease in the store lasts without a renewal.
	// It is short, so that other controllers take over the machines of a failed one within
	// seconds, and long enough for one lost renewal and one that takes a few hundred
	// milliseconds.
	SessionTTL = 3500 * time.Millisecond
	// SessionRenewEvery is the pause between renewals. It allows three tries within
	// SessionTTL.
	SessionRenewEvery = 1000 * time.Millisecond
	// MembershipCheckEvery is the longest pause between two checks of the membership. Some
	// changes follow from time alone, without a store event.
	MembershipCheckEvery = 1000 * time.Millisecond
	// MembershipCheckPause is the pause between a store event and the check of the
	// membership that it triggers. It batches the events of a watch.
	MembershipCheckPause = 10 * time.Millisecond
	// StoreCallTimeout bounds one call to the store, other than a watch or a page of a full
	// read. The store usually answers within 10 ms, and sometimes takes a few hundred.
	StoreCallTimeout = 1500 * time.Millisecond
	// WatchHold is how long a watch may stay open. It is short because freshness is proven
	// by the send time of the last answered watch, which must be recent.
	WatchHold = 1000 * time.Millisecond
	// WatchPause is the shortest pause between two watches of a controller. It batches
	// events and bounds the controller's share of the request budget.
	WatchPause = 60 * time.Millisecond
	// BarrierPause is the shortest pause between two read barriers of a controller. All
	// polls that arrive in the meantime share the next barrier.
	BarrierPause = 80 * time.Millisecond
	// BarrierWait is how long a poll waits for its read barrier before it is refused. Users
	// wait 2 s for an answer.
	BarrierWait = 1200 * time.Millisecond
	// DurableWriteTimeout is how long a submission or cancellation waits for its durable write
	// before it is refused. Users wait 5 s for an answer.
	DurableWriteTimeout = 3 * time.Second
	// BudgetShare is the fraction of the published request limits of the store and the
	// cloud that the controllers plan to use. The rest absorbs clock drift and uneven shares.
	BudgetShare = 0.95
	// LimiterQueue is the number of calls per class that may wait in a controller's rate
	// limiter. Further calls are refused at once.
	LimiterQueue = 64
	// ListPage is the number of keys per page of a full read. A page of values of the usual
	// size stays below the store's limit of 512 KiB.
	ListPage = 400
	// ChunkMax is the largest number of tasks in a chunk record. It lets several records fit
	// in one transaction of 64 KiB.
	ChunkMax = 70
	// MachinesPerGroup is the largest number of machines whose records share a key. Larger
	// groups save writes when a fleet starts; smaller ones have fewer write conflicts.
	MachinesPerGroup = 32
	// GroupsPerBatch is the largest number of groups of machine records stored for one
	// decision. These writes use a few seconds of the leader's write budget.
	GroupsPerBatch = 16
	// GroupSplitsPerPlan is the number of groups of machine records above the store's size
	// limit that the leader splits in one plan while nothing else changes them. Each split
	// takes two or more writes.
	GroupSplitsPerPlan = 2
	// GroupFillShare is the fraction of the store's value size limit that a group of machine
	// records may fill.
	GroupFillShare = 0.9
	// SubmissionWriteReserve is the number of writes that claims and releases leave in the write
	// budget, so that submissions never wait behind them.
	SubmissionWriteReserve = 1.0
	// ReleaseBatchDelay is how long the ends of tasks of one chunk are collected before they are
	// stored in one write. Users expect the end of a job within 3 s, so the write that ends
	// a job is not delayed.
	ReleaseBatchDelay = 1500 * time.Millisecond
	// ReleaseOverdue is how long a collected release may wait before it takes precedence over
	// new claims.
	ReleaseOverdue = 12 * time.Second
	// RebalancePause is the shortest pause between two rebalances of a team's quota under
	// the same membership. The two writes of a rebalance use the write budget and make
	// admissions in progress fail.
	RebalancePause = 3 * time.Second
	// TransferPause is the shortest pause between two transfers of a team's share by the
	// same controller. By then the recipient has read and used the previous one.
	TransferPause = 250 * time.Millisecond
	// RebalanceDelay is how long transfers may try to end a shortfall before the team's
	// quota is rebalanced. It leaves time for a few transfers.
	RebalanceDelay = 1200 * time.Millisecond
	// ReserveAfter is how long work within a guarantee must lack capacity before its team's
	// reservation is stored. It spans a few scheduling passes, so that shortages that end by
	// themselves cost no write.
	ReserveAfter = 3 * time.Second
	// ReserveHold is how long a reservation is kept once no work lacks capacity, so that a
	// short interruption does not restart the wait.
	ReserveHold = 10 * time.Second
	// ReservePause is the shortest pause between two changes of the reservations.
	ReservePause = 2 * time.Second
	// TransactionBytes is the largest size of a transaction in bytes of JSON, with a margin
	// below the store's limit of 64 KiB.
	TransactionBytes = 48 << 10
	// ComparesPerOperation is the largest number of compares in a transaction, as a multiple
	// of the store's limit on operations.
	ComparesPerOperation = 4
	// BytesPerKB is the number of bytes per unit of the store's size limits, which are in KiB.
	BytesPerKB = 1024
	// RetryPause is the pause before a call to the store is retried after a rejection or a
	// lost answer.
	RetryPause = 250 * time.Millisecond
	// StoreStaleAfter is how long after its last read from the store a controller considers
	// the store unavailable: it starts no tasks, makes no scheduling or capacity decisions, and
	// forwards user requests before it tries to serve them (compare StoreForwardAfter). Two watches
	// would have returned by then.
	StoreStaleAfter = 2500 * time.Millisecond
	// MinRenewPause is the shortest pause before a renewal, so that overdue renewals do not
	// run in a busy loop.
	MinRenewPause = time.Millisecond
	// GroupSplitWrites is the number of writes that must be left in the budget for a plan to
	// split oversized groups of machine records. Splits are not urgent.
	GroupSplitWrites = 2
)

// Workers.
const (
	// DriftFactor bounds the ratio between the lengths of a second on the steady clocks of
	// two machines. Each may be off by 0.05% in either direction; doubled for two clocks and
	// rounded up.
	DriftFactor = 1.002
	// LeaseMargin is added to every bound that relies on the expiry of a worker's lease,
	// because timers fire late on a busy processor.
	LeaseMargin = 1500 * time.Millisecond
	// CancelMargin is the time between the expiry of the last lease that a controller cut
	// off from the store may renew and the cancellation limit. It covers network delays of
	// heartbeats, clock drift and late timers.
	CancelMargin = 4 * time.Second
	// TokenRange is the number of fencing tokens of one membership. The owner of a machine can
	// raise the machine's token once less than this.
	TokenRange = 1 << 24
	// WorkerCallTimeout bounds a direct call to a worker.
	WorkerCallTimeout = 2 * time.Second
	// TokenAnnouncePause is the pause between direct calls that announce the fencing token to
	// a worker that does not answer.
	TokenAnnouncePause = 2 * time.Second
	// ConfirmAfter is how long after an answer with a command a heartbeat must show the
	// command's effect. Workers drop answers after 4 s and report changes within 0.5 s.
	ConfirmAfter = 6 * time.Second
	// UnresponsivePause is the pause between direct calls that probe whether a machine
	// receives commands again after its heartbeats showed no effect of any.
	UnresponsivePause = 5 * time.Second
	// QuarantineLeases is the number of lease times after which a machine that sends
	// heartbeats but accepts no tasks is terminated.
	QuarantineLeases = 2
	// WorkerCallsMax is the largest number of direct calls that a controller has open at the
	// same time. It bounds sockets and memory.
	WorkerCallsMax = 32
	// UnschedulableHeartbeats is the number of heartbeat intervals without a message after which a
	// machine is unschedulable.
	UnschedulableHeartbeats = 2.2
	// MinUnreachableTime is the shortest time for which a controller that has reported that no
	// worker reaches it owns no machines. It prevents an unstable network from moving
	// machines back and forth.
	MinUnreachableTime = 10 * time.Second
	// ReachabilityProbes is the largest number of workers that an unreachable controller
	// probes.
	ReachabilityProbes = 4
	// MachineFailuresMax is the number of failed tasks of different jobs, with no success in
	// between, after which a machine is considered faulty.
	MachineFailuresMax = 2
	// RetryBase is the pause before a failed task is first retried. The pause doubles with
	// each further failure.
	RetryBase = 500 * time.Millisecond
	// RetryCap is the longest pause before a failed task is retried. It is also the pause
	// after the store rejected a write as malformed.
	RetryCap = 30 * time.Second
	// RefusalPause is how long no tasks are placed on a machine that refused one for lack of
	// capacity.
	RefusalPause = 5 * time.Second
	// ImagesKept is the largest number of images that a controller remembers per machine. It
	// bounds memory; how many images the machine holds depends on its disk.
	ImagesKept = 64
	// TerminationNoticeFactor is the fraction of a spot termination notice in which a task
	// must be expected to finish to be left running. The cloud may terminate the
	// machine after only half of the notice.
	TerminationNoticeFactor = 0.5
	// MembershipSettle is how long after a membership change no worker is called only to
	// have it acknowledge the fencing token. Most workers do so with their next heartbeat.
	MembershipSettle = time.Second / 2
	// SentCommandHeartbeats is the number of heartbeat intervals for which a direct command
	// is remembered, much longer than the interval for which it is not sent again.
	SentCommandHeartbeats = 10
	// ForgetLeases is the number of lease times without a message after which a controller
	// forgets the worker of a machine that it does not own and that is not stored. The
	// worker's lease has certainly expired by then.
	ForgetLeases = 2
)

// Placement.
const (
	// TickEvery is the longest pause between scheduling passes. Some decisions, such as
	// retries, follow from time alone, without an event.
	TickEvery = 500 * time.Millisecond
	// FullScanEvery is the interval at which a scheduling pass checks every machine, because
	// lease expiry and missing heartbeats follow from time alone. Other passes check only
	// machines for which something changed.
	FullScanEvery = 500 * time.Millisecond
	// PassPause is the shortest pause between two scheduling passes. It batches events.
	PassPause = 80 * time.Millisecond
	// RecoveryQuietHeartbeats is the number of heartbeat intervals without a pending start
	// after which a controller's recovery ends. Tasks that ended during an outage are
	// released with the heartbeats and claimed again only after that.
	RecoveryQuietHeartbeats = 2.0
	// StartCallGrace is how long a direct call with a start may be in flight before the
	// answer to a heartbeat repeats the start. Calls usually take milliseconds, and one that
	// takes longer may never arrive.
	StartCallGrace = 500 * time.Millisecond
	// RecoveryMachineHeartbeats is the number of heartbeat intervals in which a machine has to send
	// a heartbeat after a restarted controller became a member. One arrives within 1.25
	// intervals, possibly at a controller that redirects it, and another after the fencing
	// token has changed.
	RecoveryMachineHeartbeats = 4.0
	// StallAfter is how long a loop of a controller may make no progress before the service
	// manager's watchdog is no longer notified. It covers several timeouts of calls to the
	// store in a row.
	StallAfter = 20 * time.Second
	// ShutdownTimeout is how long a graceful shutdown waits for operations in progress. A
	// decision write takes up to DurableWriteTimeout, and the operations that follow from it may
	// take as long again.
	ShutdownTimeout = 8 * time.Second
	// ShutdownPoll is the interval at which a graceful shutdown checks whether all operations
	// have ended.
	ShutdownPoll = 20 * time.Millisecond
	// ConflictPause is the mean pause after a placement lost a write conflict. It is
	// jittered, so that the same two controllers do not conflict again.
	ConflictPause = 120 * time.Millisecond
	// JobsPerPass is the largest number of jobs placed in one scheduling pass. It bounds the
	// processor time of a pass; all controllers together store fewer jobs per second.
	JobsPerPass = 24
	// PassRestFactor is the pause after a scheduling pass, as a multiple of the time that the pass
	// took. Passes then use little processor time, and the write budget allows only a few
	// writes per second to decide on anyway.
	PassRestFactor = 30
	// PassPauseMax is the longest pause that PassRestFactor may cause.
	PassPauseMax = 400 * time.Millisecond
	// StarvedAfter is how long a job waits without any task started before no job of the same
	// priority is placed ahead of it. It is less than half of the 4 minutes that users accept.
	StarvedAfter = 100 * time.Second
	// GuaranteePreemptAfter is how long work within a guarantee waits before borrowed work of
	// another team is preempted for it. By then the cloud has had time for two machine boots.
	GuaranteePreemptAfter = 120 * time.Second
	// PreemptPause is how long a controller waits after preempting tasks for a job before it
	// preempts more for the same job. It covers a task stop, the heartbeat that reports it
	// and the next claim.
	PreemptPause = 8 * time.Second
	// DependencyStartDelay is the time between the end of a job and the first start of a job
	// that depends on it. It covers storing and observing the end, and placing, claiming and
	// starting the next job.
	DependencyStartDelay = 3 * time.Second
	// TasksPerMachine is the largest number of tasks on a machine, and of commands in an
	// answer to it. A heartbeat with twice as many tasks, exited ones included, takes
	// 64 KiB, the size limit of a message.
	TasksPerMachine = 400
	// TasksPerJob is the largest number of tasks of one job that a scheduling pass tries to
	// place.
	TasksPerJob = 128
	// MaxRetryDoublings is the largest number of times that the pause before a task's retry
	// doubles. RetryCap is reached long before, and the shift cannot overflow.
	MaxRetryDoublings = 10
	// MaxEvictionTries is the largest number of tasks for which a scheduling pass searches
	// another machine.
	MaxEvictionTries = 16
)

// Role control. Most values are those of the role control of the Narwhal paper, called the design
// below (see docs/design.md).
const (
	// RoleStep is the interval between evaluations of adjacent role splits, as the design
	// sets it.
	RoleStep = 5 * time.Second
	// RoleExpand is the batch load (ratio) from which a mixed-pressure move may start. Such a
	// move takes a machine from services that are under load as well.
	RoleExpand = 1.0
	// RoleShrink is the highest load (ratio) that a consolidation may leave on its source
	// role.
	RoleShrink = 0.5
	// RoleMargin is the smallest drop in the worst load ratio that justifies a move.
	RoleMargin = 0.05
	// RoleConfirmations is the number of matching proposals in a row that a move needs.
	RoleConfirmations = 3
	// RoleCooldown is the shortest pause between batch-to-service moves.
	RoleCooldown = 10 * time.Second
	// MinRoleEvidence is the age at which the evidence window closes if it has
	// RoleEvidenceArrivals. The design has 60 s.
	MinRoleEvidence = 20 * time.Second
	// MaxRoleEvidence is the age at which the evidence window closes even without enough
	// arrivals. The design has 120 s.
	MaxRoleEvidence = 40 * time.Second
	// RoleEvidenceArrivals is the number of service arrivals that closes the evidence window
	// early.
	RoleEvidenceArrivals = 10
	// RoleDemandRise is the tolerated rise of short-term over long-term service demand, as a
	// fraction.
	RoleDemandRise = 0.25
	// RoleShortWindow is the window over which short-term demand is measured. It matches
	// MinRoleEvidence.
	RoleShortWindow = 20 * time.Second
	// RoleLongWindow is the window over which long-term demand is measured: the demand window
	// of the design.
	RoleLongWindow = 120 * time.Second
	// RoleUsableShare is the fraction of a machine that counts as usable for services.
	RoleUsableShare = 0.8
	// RoleFloor is the number of machines that each role keeps.
	RoleFloor = 1
	// RoleInactiveAfter is how long after its last open job a role needs no floor and no headroom
	// any more. It is short because an idle machine costs as much as a busy one.
	RoleInactiveAfter = 25 * time.Second
	// RoleStartTarget is the default start-time target of batch work, for settings that
	// state none.
	RoleStartTarget = 15 * time.Second
)

// Cloud.
const (
	// CloudCallTimeout bounds one call to the cloud.
	CloudCallTimeout = 4 * time.Second
	// ListEvery is the pause between reads of the machine list; lists of more than three
	// pages are read less often. The reads take a quarter of the smallest published call
	// budget. A spot machine that the cloud reclaims without notice is first noticed here.
	ListEvery = 2 * time.Second
	// TypesEvery is the pause between reads of the machine types. Spot prices change slowly.
	TypesEvery = 60 * time.Second
	// PlanEvery is the pause between autoscaling decisions.
	PlanEvery = 1 * time.Second
	// NoCapacityPause is how long a machine type in a zone, either spot or on-demand, is not
	// requested again after the cloud had no capacity for it.
	NoCapacityPause = 20 * time.Second
	// SlowBootFactor is the multiple of a type's boot time after which a machine without a
	// heartbeat is terminated. Usual boots take up to 1.5 times the boot time.
	SlowBootFactor = 2.5
	// MinSlowBoot is the shortest time after which a machine without a heartbeat is
	// terminated.
	MinSlowBoot = 20 * time.Second
	// LateBootFactor is the multiple of a type's boot time after which a booting machine is
	// no longer expected to come up. Usual boots take up to 1.5 times the boot time.
	LateBootFactor = 1.5
	// SpotIdleTimeout is how long a surplus spot machine is kept before it is terminated. A machine
	// is billed for at least 60 s, and a replacement costs a boot.
	SpotIdleTimeout = 25 * time.Second
	// OnDemandIdleTimeout is how long a surplus on-demand machine is kept before it is terminated. A
	// machine is billed for at least 60 s, and a replacement costs a boot.
	OnDemandIdleTimeout = 30 * time.Second
	// BatchOnDemandAfter is how long a task that may use spot machines waits before an
	// on-demand machine, which is several times as expensive, is added for it.
	BatchOnDemandAfter = 15 * time.Second
	// ListLagFactor is the multiple of the list's lag after which, counted from a machine's
	// first listing, its absence from a list counts. The lag sometimes doubles.
	ListLagFactor = 3
	// MissingLists is the number of lists in a row that must omit a machine before it is
	// considered gone and is terminated to make sure.
	MissingLists = 2
	// MissingHeartbeats is the number of heartbeat intervals for which a machine that lists
	// omit must be silent. Heartbeats are up to a quarter of an interval late, so one was
	// missed.
	MissingHeartbeats = 1.25
	// TerminateMax is the largest number of machines in one terminate call.
	TerminateMax = 100
	// ScaleOutMax is the largest number of machines in one scale-out call.
	ScaleOutMax = 50
	// MinDrainChecks is the smallest number of partly used service machines that a plan
	// checks for draining; in a large fleet it checks as many as may drain at the same time.
	MinDrainChecks = 6
	// IdleGroupsPerPlan is the number of groups of machine records that one plan may write to
	// terminate idle machines, even with little write budget left. Each group costs a write.
	IdleGroupsPerPlan = 2
	// IdleGroupsPerPlanMax is the same limit while enough write budget is left.
	IdleGroupsPerPlanMax = 6
	// DrainingShare is the fraction of the service machines that may drain at the same time,
	// with a minimum of one machine. It limits the tasks that move; each owner moves its
	// tasks one by one.
	DrainingShare = 0.03
	// TerminationRememberedFor is how long the leader remembers that it terminated a machine,
	// because outdated lists still show it.
	TerminationRememberedFor = 60 * time.Second
	// ServiceHeadroom is the spare service capacity, as a fraction of the tasks that services
	// run.
	ServiceHeadroom = 0.12
	// LateBootShare is the expected fraction of machines that take much longer to boot than
	// usual. Capacity for their tasks is added in advance.
	LateBootShare = 0.1
	// LateBootSpread is the number of standard deviations added to the expected number of
	// late machines. More would cost more, since each extra machine costs a minute's price
	// even if all boot in time.
	LateBootSpread = 1.2
	// BatchHeadroom is the spare batch capacity, as a fraction of the mean number of batch
	// tasks.
	BatchHeadroom = 0.25
	// BatchHeadroomJobs is the smallest batch headroom, in job arrays of the mean size. All
	// tasks of an array arrive at once, and most arrays are smaller than this. Work that
	// may use spot machines gets its headroom there, where it is cheap.
	BatchHeadroomJobs = 1.5
	// ArraySizeWeight is the weight of a new job array in the moving average of array sizes.
	ArraySizeWeight = 0.1
	// BatchHeadroomHold is how long after the last job array BatchHeadroomJobs applies.
	BatchHeadroomHold = 60 * time.Second
	// BatchWindow is the time constant of the mean number of batch tasks from which
	// BatchHeadroom is computed.
	BatchWindow = 60 * time.Second
	// ListStaleAfter is the largest age of the cloud's machine list with which a plan may add
	// or terminate machines. It allows a few failed reads.
	ListStaleAfter = 5 * ListEvery
	// FailedLeases is the number of worker leases without a message after which a machine
	// that was up is considered failed and is terminated to make sure. It is more than one,
	// because terminating a live machine ends its tasks.
	FailedLeases = 2
	// UnlistedBootLimit is how long after its request a machine counts as booting although
	// no list has shown it.
	UnlistedBootLimit = time.Minute
	// ListPagesPerInterval is the number of pages of the machine list that are read per
	// ListEvery, because each page takes one call from the cloud's call budget.
	ListPagesPerInterval = 2
)

// Outgoing calls.
const (
	// DialTimeout bounds a connection attempt, because a machine behind a network partition
	// does not even refuse it.
	DialTimeout = 1 * time.Second
	// MaxResponse is the largest response that is read, in bytes. The protocol sets no limit
	// for a watch response.
	MaxResponse = 64 << 20
	// StoreConns is the largest number of connections to the store.
	StoreConns = 48
	// CloudConns is the largest number of connections to the cloud.
	CloudConns = 6
	// WorkerConns is the largest number of connections to one worker.
	WorkerConns = 2
	// WorkerIdle is how long an idle connection to a worker stays open, since the next call to
	// the same worker is rarely soon. At 100 calls per second, which one controller makes when
	// the others have failed, 5 s took more sockets than are left for its own calls.
	WorkerIdle = 1 * time.Second
)

// Servers and peer communication.
const (
	// ReadTimeout bounds the reading of one request.
	ReadTimeout = 5 * time.Second
	// IdleTimeout is how long an idle connection stays open. It is longer than the pause
	// between two polls or heartbeats, which then reuse their connection.
	IdleTimeout = 30 * time.Second
	// WriteTimeout bounds the writing of one answer.
	WriteTimeout = 3 * time.Second
	// RefuseTimeout bounds the answer to a connection beyond the limit, so that it does not
	// delay the next connection.
	RefuseTimeout = 200 * time.Millisecond
	// IntakeQueue is the number of submissions that may wait for their durable write at the
	// same time. Further ones are refused with RetryAfter.
	IntakeQueue = 48
	// IntakeWriters is the number of submission writes that a controller has in flight, so that
	// a slow answer of the store does not delay the next write.
	IntakeWriters = 3
	// IntakeGroup is the largest number of submissions in one record.
	IntakeGroup = 32
	// PollQueue is the number of polls that may wait for a read barrier at the same time.
	PollQueue = 256
	// RetryAfter is the number of seconds after which refused users are told to retry.
	RetryAfter = 2
	// PeerEvery is the pause between two exchanges of status with a sibling controller.
	PeerEvery = 700 * time.Millisecond
	// MachineStatusEvery is the shortest interval at which a controller collects the changes
	// of its machines' status for its siblings.
	MachineStatusEvery = 300 * time.Millisecond
	// PeerTimeout bounds one exchange of status.
	PeerTimeout = 1 * time.Second
	// PeerConns is the largest number of connections to one sibling. It bounds sockets;
	// forwarded requests beyond it are refused at once.
	PeerConns = 16
	// ForwardTimeout bounds a user request that is forwarded to a sibling. Together with a
	// preceding barrier wait, a poll still ends within 2 s.
	ForwardTimeout = 1500 * time.Millisecond
	// PeerFresh is how long a sibling's status is considered current.
	PeerFresh = 3 * time.Second
	// ConnectionShare is the fraction of the connection limit that users and workers may use.
	// The rest is for the controller's own calls.
	ConnectionShare = 0.8
	// CrowdedConnectionShare is the fraction of those connections in use above which workers'
	// connections are closed after each heartbeat, so that users and health checks still find
	// free ones.
	CrowdedConnectionShare = 0.6
	// MemoryShare is the fraction of the memory limit given to the Go runtime as its soft
	// limit. The rest is for the binary, stacks and the C library.
	MemoryShare = 0.65
	// GCPercent is the amount of garbage, in percent of the live memory, that may accumulate
	// below that limit before it is collected. Processor time is scarcer than memory.
	GCPercent = 400
	// PeerViewMaxAgeFactor is the multiple of PeerFresh for which the last view of a sibling's
	// machines is used to tell when they were last heard.
	PeerViewMaxAgeFactor = 5
	// StoreForwardAfter is how long after its last read from the store a controller begins to
	// forward user requests that it has tried and could not serve. Two watches have gone
	// unanswered by then. It is shorter than StoreStaleAfter: in between, the controller still
	// makes decisions and starts tasks.
	StoreForwardAfter = 2 * WatchHold
	// PeerConnectionsEach is the number of connections that the peer server accepts per
	// sibling: twice as many as a sibling opens at the same time.
	PeerConnectionsEach = 2 * PeerConns
	// MaxPeerBody is the largest message from a sibling, in bytes. The sibling's status
	// lists its machines.
	MaxPeerBody = 1 << 20
	// MinConnections is the smallest connection limit of a server, whatever the settings say.
	MinConnections = 8
	// ConnectionBufferBytes is the size of each of a connection's two buffers, in bytes. It
	// bounds the header of a request.
	ConnectionBufferBytes = 4096
)

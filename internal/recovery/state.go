package recovery

// DesiredTask is the stored, desired state of a task on a machine.
type DesiredTask struct {
	Claimed     bool // the task is claimed for this machine
	Open        bool // its job is neither done nor cancelled
	Cancelled   bool // its job is cancelled
	Attempt     uint64
	Incarnation uint64 // the worker incarnation for which the task was claimed
}

// shouldRunOn reports whether the task is claimed for this incarnation of the worker, and
// its job is open.
func (d DesiredTask) shouldRunOn(w Worker) bool {
	return d.Claimed && d.Open && d.Incarnation == w.Incarnation
}

// TaskState is the state of a task according to a worker's heartbeat.
type TaskState int

// States of a task in a heartbeat.
const (
	NotListed     TaskState = iota
	Alive                   // waits for its image, runs or writes a checkpoint
	Checkpointing           // is being stopped and writes a checkpoint
	Exited
)

// ExitCause is the cause of an exit, as far as reconciliation distinguishes it.
type ExitCause int

// Causes of an exit.
const (
	ExitOther ExitCause = iota // stopped or refused; the task may start again
	ExitDone
	ExitFailed
)

// ObservedTask is the observed state of a task, taken from the worker's newest heartbeat.
type ObservedTask struct {
	State   TaskState
	Attempt uint64
	Cause   ExitCause // if State is Exited
}

// running reports whether an attempt occupies the machine.
func (o ObservedTask) running() bool { return o.State == Alive || o.State == Checkpointing }

// lacksAttempt reports whether the worker does not list the desired attempt or a newer one.
func (o ObservedTask) lacksAttempt(desired DesiredTask) bool {
	return o.State == NotListed || o.Attempt < desired.Attempt
}

// WorkerState is what the shard owner of a machine knows about the incarnation of its worker.
type WorkerState int

// States of a worker's incarnation.
const (
	TokenUnacknowledged WorkerState = iota // commands of former shard owners may be in flight
	TokenAcknowledged                      // the worker has acknowledged our fencing token
	WorkerLeaseExpired                     // its lease has certainly expired
)

// Worker is the state of a worker's incarnation and of the commands in flight to it, as far
// as it concerns one task.
type Worker struct {
	Incarnation         uint64
	State               WorkerState
	AllowStarts         bool // this controller may send starts, because it can read the key-value store
	StartPending        bool // a direct start of the listed attempt, or a late copy of one, may still arrive
	AttemptNeverStarted bool // the claimed attempt has not started, and can't without a new start command
	TaskStopRequested   bool // the task is to be stopped on this machine
}

// mayReap reports whether an exited task may be removed from the heartbeats. It may if neither
// a command of a former shard owner nor a late start of this controller can run it again.
func (w Worker) mayReap() bool { return w.State == TokenAcknowledged && !w.StartPending }

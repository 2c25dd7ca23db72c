package recovery

// DesiredTask is the desired state of a task on a machine, as it is stored.
type DesiredTask struct {
	Claimed     bool // the task is claimed for this machine
	Open        bool // and its job is neither done nor cancelled
	Cancelled   bool // its job is cancelled
	Attempt     uint64
	Incarnation uint64 // of the machine's worker that the claim is for
}

// shouldRunOn reports whether the task is claimed for this incarnation of the worker,
// and its job is open.
func (d DesiredTask) shouldRunOn(w Worker) bool {
	return d.Claimed && d.Open && d.Incarnation == w.Incarnation
}

// TaskState is the state of a task in a worker's heartbeat.
type TaskState int

// States of a task in a heartbeat.
const (
	NotListed     TaskState = iota
	Alive                   // it waits for its image, runs or writes a checkpoint
	Checkpointing           // it is being stopped and writes a checkpoint
	Exited
)

// ExitCause is why a task is over, as far as it matters.
type ExitCause int

// Causes of an exit.
const (
	ExitOther ExitCause = iota // stopped, or refused: it may start again
	ExitDone
	ExitFailed
)

// ObservedTask is the observed state of a task: that in the worker's newest
// heartbeat.
type ObservedTask struct {
	State   TaskState
	Attempt uint64
	Cause   ExitCause // of Exited
}

// running reports whether an attempt takes up the machine.
func (o ObservedTask) running() bool { return o.State == Alive || o.State == Checkpointing }

// lacksAttempt reports whether the worker knows nothing yet of the desired attempt.
func (o ObservedTask) lacksAttempt(desired DesiredTask) bool {
	return o.State == NotListed || o.Attempt < desired.Attempt
}

// WorkerState is what the shard owner of a machine knows of its worker's
// incarnation.
type WorkerState int

// States of an incarnation.
const (
	TokenUnacknowledged WorkerState = iota // commands of former shard owners may be under way
	TokenAcknowledged                      // the worker has acknowledged our fencing token
	LeaseExpired                           // its lease has expired for certain
)

// Worker is the worker's incarnation, and what may be under way to it.
type Worker struct {
	Incarnation  uint64
	State        WorkerState
	AllowStarts  bool // this controller may send starts: it reads the key-value store
	StartPending bool // a direct start of the listed attempt may yet arrive
	NeverRan     bool // the claimed attempt has not begun, and can't without a new start
	Stopping     bool // the task is wanted off the machine
}

// mayReap reports whether an exited task may leave the heartbeats: no command of a
// former shard owner, and no start of ours, can run it again.
func (w Worker) mayReap() bool { return w.State == TokenAcknowledged && !w.StartPending }

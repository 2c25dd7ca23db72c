package recovery

// DesiredTask is the stored state of a task on a machine.
type DesiredTask struct {
	Claimed     bool // the task is claimed for this machine
	Open        bool // and its job is neither done nor cancelled
	Cancelled   bool // its job is cancelled
	Attempt     uint64
	Incarnation uint64 // of the machine's worker that the claim is for
}

// TaskState is the state of a task in a worker's report.
type TaskState int

// States of a task in a report.
const (
	NotListed     TaskState = iota
	Alive                   // it waits for its image, runs or saves
	Checkpointing           // it was told to stop and saves
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

// ObservedTask is a task in a worker's newest report.
type ObservedTask struct {
	State   TaskState
	Attempt uint64
	Cause   ExitCause // of Exited
}

// WorkerState is what the owner of a machine knows of its worker's session.
type WorkerState int

// States of a session.
const (
	TokenUnacknowledged WorkerState = iota // commands of former owners may be under way
	TokenAcknowledged                      // the worker has shown our token
	LeaseExpired                           // its lease has ended for certain
)

// Worker is the worker's session, and what may be under way to it.
type Worker struct {
	Incarnation  uint64
	State        WorkerState
	AllowStarts  bool // this node may send starts: it reads the state service
	StartPending bool // a direct start of the listed attempt may yet arrive
	NeverRan     bool // the claimed attempt has not begun, and can't without a new start
	Stopping     bool // the task is wanted off the machine
}

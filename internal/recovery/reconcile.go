// Package recovery reconciles what the state service has stored with what the
// workers report, above all when every controller starts anew: it says what
// becomes of each task, in which order and how fast orders go out, and when a
// node knows its machines again.
//
// The table of docs/design/recovery.md is Reconcile; ordinary operation uses the
// same. The package is pure.
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

// Stop is the order that ends something on a machine.
type Stop int

// Orders that end something.
const (
	NoStop             Stop = iota
	Kill                    // the task ends at once
	KillWithCheckpoint      // the task may save before it ends
	Reap                    // an exited task leaves the reports
)

// TaskUpdate is the change of the stored state that the report proves.
type TaskUpdate int

// Changes of the stored state.
const (
	NoUpdate       TaskUpdate = iota
	UpdateDone                // the task is done
	UpdateFailed              // it failed and starts again later
	UpdateReleased            // the claim ends; the task starts again
)

// Reason says why a claim ends.
type Reason string

// Reasons for the end of a claim.
const (
	ReasonNone           Reason = ""
	ReasonLeaseExpired   Reason = "lease ended"
	ReasonNewIncarnation Reason = "new session"
	ReasonExited         Reason = "exited"
	ReasonNeverStarted   Reason = "never started"
)

// Decision is what becomes of one task on one machine. Without any part of it,
// the task is kept as it is, or waited for.
type Decision struct {
	Stop   Stop
	Start  bool
	Update TaskUpdate
	Reason Reason // of Record
}

// Adopted reports whether a task that is alive is left running.
func (d Decision) Adopted(observed ObservedTask) bool {
	return (observed.State == Alive || observed.State == Checkpointing) && d.Stop == NoStop && d.Update == NoUpdate
}

// Reconcile decides what becomes of a task on a machine.
func Reconcile(desired DesiredTask, observed ObservedTask, worker Worker) Decision {
	decision := Commands(desired, observed, worker)
	decision.Update, decision.Reason = ProvenUpdate(desired, observed, worker)
	return decision
}

// Commands decides what the worker is told.
func Commands(desired DesiredTask, observed ObservedTask, worker Worker) Decision {
	if worker.State == LeaseExpired {
		return Decision{} // nothing that is sent would be carried out
	}
	wanted := desired.Claimed && desired.Open && desired.Incarnation == worker.Incarnation
	same := desired.Claimed && observed.Attempt == desired.Attempt
	reap := worker.State == TokenAcknowledged && !worker.StartPending
	switch {
	case wanted && (observed.State == NotListed || observed.Attempt < desired.Attempt):
		d := Decision{Start: worker.AllowStarts}
		if observed.State == Exited && reap {
			d.Stop = Reap
		} else if observed.State == Alive || observed.State == Checkpointing {
			d.Stop = Kill
		}
		return d
	case observed.State == NotListed:
		return Decision{}
	case observed.State == Exited:
		// Only once its end is stored: then no claim names the attempt. Guards
		// against a late start that runs a forgotten attempt again.
		if !same && reap {
			return Decision{Stop: Reap}
		}
		return Decision{}
	case wanted && same:
		if worker.Stopping && observed.State != Checkpointing {
			return Decision{Stop: KillWithCheckpoint}
		}
		return Decision{}
	}
	// No stored claim covers it, or its job is over.
	return Decision{Stop: Kill}
}

// ProvenUpdate decides what is stored: only what the report, or the end of the session,
// proves.
func ProvenUpdate(desired DesiredTask, observed ObservedTask, worker Worker) (TaskUpdate, Reason) {
	switch {
	case !desired.Claimed:
		return NoUpdate, ReasonNone
	case worker.State == LeaseExpired && desired.Incarnation <= worker.Incarnation:
		return UpdateReleased, ReasonLeaseExpired
	case worker.State != TokenAcknowledged:
		return NoUpdate, ReasonNone // a former owner's commands may still be under way
	case desired.Incarnation < worker.Incarnation:
		return UpdateReleased, ReasonNewIncarnation
	case observed.State == Exited && observed.Attempt == desired.Attempt:
		return updateOf(observed.Cause), ReasonExited
	case desired.Cancelled && (observed.State == NotListed || observed.Attempt < desired.Attempt) && worker.NeverRan:
		// Nobody starts a cancelled job's task any more. Guards against a claim
		// that counted against its team, and filled its machine, for as long as
		// the machine's session lasted.
		return UpdateReleased, ReasonNeverStarted
	}
	return NoUpdate, ReasonNone
}

// updateOf is the change that an exit leads to.
func updateOf(cause ExitCause) TaskUpdate {
	switch cause {
	case ExitDone:
		return UpdateDone
	case ExitFailed:
		return UpdateFailed
	}
	return UpdateReleased
}

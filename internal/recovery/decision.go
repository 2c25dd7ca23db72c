package recovery

// Stop is the command that ends something on a machine.
type Stop int

// Commands that end something.
const (
	NoStop             Stop = iota
	Kill                    // the task ends at once
	KillWithCheckpoint      // the task may write a checkpoint before it ends
	Reap                    // an exited task leaves the heartbeats
)

// TaskUpdate is the change of the stored state that the heartbeat proves.
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
	Reason Reason // of Update
}

// Adopted reports whether a task that is alive is left running.
func (d Decision) Adopted(observed ObservedTask) bool {
	return observed.running() && d.Stop == NoStop && d.Update == NoUpdate
}

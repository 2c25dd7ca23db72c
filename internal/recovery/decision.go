package recovery

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

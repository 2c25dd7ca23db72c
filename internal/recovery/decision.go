package recovery

// StopCommand is the command that ends a task, or removes an exited one, on a machine.
type StopCommand int

// Stop commands.
const (
	NoStop             StopCommand = iota
	Kill                           // the task ends at once
	KillWithCheckpoint             // the task may write a checkpoint before it ends
	Reap                           // the worker removes an exited task from its heartbeats
)

// TaskUpdate is the change of the stored state that follows from a heartbeat or from the
// expiry of a lease.
type TaskUpdate int

// Updates of the stored state.
const (
	NoUpdate       TaskUpdate = iota
	UpdateDone                // the task is done
	UpdateFailed              // the task failed and is retried later
	UpdateReleased            // the claim ends and the task is rescheduled
)

// Reason is the reason why a claim ends.
type Reason string

// Reasons for the end of a claim.
const (
	ReasonNone           Reason = ""
	ReasonLeaseExpired   Reason = "lease ended"
	ReasonNewIncarnation Reason = "new session"
	ReasonExited         Reason = "exited"
	ReasonNeverStarted   Reason = "never started"
)

// Decision is what happens to one task on one machine. The zero value leaves the task as it
// is, or waits for it.
type Decision struct {
	Stop   StopCommand
	Start  bool
	Update TaskUpdate
	Reason Reason // of Update
}

// Adopted reports whether a running task is kept running.
func (d Decision) Adopted(observed ObservedTask) bool {
	return observed.running() && d.Stop == NoStop && d.Update == NoUpdate
}

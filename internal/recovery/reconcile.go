// Package recovery reconciles what the state service has stored with what the
// workers report, above all when every controller starts anew: it says what
// becomes of each task, in which order and how fast orders go out, and when a
// node knows its machines again.
//
// The table of docs/design/recovery.md is Reconcile; ordinary operation uses the
// same. The package is pure.
package recovery

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

// Package recovery reconciles the desired state, which is stored, with the
// observed state, which workers' heartbeats tell, above all when every controller
// starts anew. It owns three decisions: what becomes of each task (Reconcile), in
// which order and how fast starts go out (Pacer), and when a controller knows its
// machines again (Progress).
//
// The table of docs/design/recovery.md is Reconcile; ordinary operation uses the
// same. The package is pure: it neither sends commands nor writes the key-value
// store, which packages worker and controller do.
package recovery

// Reconcile decides what becomes of a task on a machine.
func Reconcile(desired DesiredTask, observed ObservedTask, worker Worker) Decision {
	decision := Commands(desired, observed, worker)
	decision.Update, decision.Reason = ProvenUpdate(desired, observed, worker)
	return decision
}

// Commands decides which commands the worker is sent.
func Commands(desired DesiredTask, observed ObservedTask, worker Worker) Decision {
	if worker.State == LeaseExpired {
		return Decision{} // no command would be carried out
	}
	shouldRun := desired.shouldRunOn(worker)
	sameAttempt := desired.Claimed && observed.Attempt == desired.Attempt
	switch {
	case shouldRun && observed.lacksAttempt(desired):
		return Decision{Start: worker.AllowStarts, Stop: stopOlderAttempt(observed, worker)}
	case observed.State == NotListed:
		return Decision{}
	case observed.State == Exited:
		// Only once its end is stored: then no claim names the attempt. Guards
		// against a late start that runs a forgotten attempt again.
		if !sameAttempt && worker.mayReap() {
			return Decision{Stop: Reap}
		}
		return Decision{}
	case shouldRun && sameAttempt:
		if worker.Stopping && observed.State != Checkpointing {
			return Decision{Stop: KillWithCheckpoint}
		}
		return Decision{}
	}
	// No stored claim covers it, or its job is over.
	return Decision{Stop: Kill}
}

// stopOlderAttempt ends what the worker lists of an attempt before the desired one.
func stopOlderAttempt(observed ObservedTask, worker Worker) Stop {
	switch {
	case observed.State == Exited && worker.mayReap():
		return Reap
	case observed.running():
		return Kill
	}
	return NoStop
}

// ProvenUpdate decides what is stored: only what the heartbeat, or the expiry of
// the worker's lease, proves.
func ProvenUpdate(desired DesiredTask, observed ObservedTask, worker Worker) (TaskUpdate, Reason) {
	switch {
	case !desired.Claimed:
		return NoUpdate, ReasonNone
	case worker.State == LeaseExpired && desired.Incarnation <= worker.Incarnation:
		return UpdateReleased, ReasonLeaseExpired
	case worker.State != TokenAcknowledged:
		return NoUpdate, ReasonNone // a former shard owner's commands may still be under way
	case desired.Incarnation < worker.Incarnation:
		return UpdateReleased, ReasonNewIncarnation
	case observed.State == Exited && observed.Attempt == desired.Attempt:
		return updateAfterExit(observed.Cause), ReasonExited
	case desired.Cancelled && observed.lacksAttempt(desired) && worker.NeverRan:
		// No controller starts a cancelled job's task any more. Guards against a
		// claim that counted against its team, and filled its machine, for as long
		// as the machine's incarnation lasted.
		return UpdateReleased, ReasonNeverStarted
	}
	return NoUpdate, ReasonNone
}

// updateAfterExit is the change that an exit leads to.
func updateAfterExit(cause ExitCause) TaskUpdate {
	switch cause {
	case ExitDone:
		return UpdateDone
	case ExitFailed:
		return UpdateFailed
	}
	return UpdateReleased
}

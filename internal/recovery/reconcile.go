// Package recovery reconciles the desired state, which is stored, with the observed state,
// which the heartbeats of workers report. This matters most after a restart of all
// controllers. The package makes three decisions: what happens to each task (Reconcile), in
// which order and how fast starts are sent (Pacer), and when a controller knows its machines
// again (Progress).
//
// Reconcile implements the table in docs/design/recovery.md, and is used in normal operation
// as well. The package is pure. Packages worker and fleet use its decisions; package fleet
// sends the commands, and package scheduler stores the updates.
package recovery

// Reconcile decides what happens to a task on a machine.
func Reconcile(desired DesiredTask, observed ObservedTask, worker Worker) Decision {
	decision := Commands(desired, observed, worker)
	decision.Update, decision.Reason = ProvenUpdate(desired, observed, worker)
	return decision
}

// Commands decides which commands to send to the worker.
func Commands(desired DesiredTask, observed ObservedTask, worker Worker) Decision {
	if worker.State == WorkerLeaseExpired {
		return Decision{} // the worker would not carry out any command
	}
	shouldRun := desired.shouldRunOn(worker)
	sameAttempt := desired.Claimed && observed.Attempt == desired.Attempt
	switch {
	case shouldRun && observed.lacksAttempt(desired):
		return Decision{Start: worker.AllowStarts, Stop: stopOlderAttempt(observed, worker)}
	case observed.State == NotListed:
		return Decision{}
	case observed.State == Exited:
		// An exited task is reaped only after its exit is stored, when no claim names the
		// attempt any more. Otherwise a delayed start command could run an attempt again
		// that the worker has already forgotten.
		if !sameAttempt && worker.mayReap() {
			return Decision{Stop: Reap}
		}
		return Decision{}
	case shouldRun && sameAttempt:
		if worker.TaskStopRequested && observed.State != Checkpointing {
			return Decision{Stop: KillWithCheckpoint}
		}
		return Decision{}
	}
	// No stored claim covers the task, or its job is over.
	return Decision{Stop: Kill}
}

// stopOlderAttempt returns the command that removes an attempt older than the desired one.
func stopOlderAttempt(observed ObservedTask, worker Worker) StopCommand {
	switch {
	case observed.State == Exited && worker.mayReap():
		return Reap
	case observed.running():
		return Kill
	}
	return NoStop
}

// ProvenUpdate decides which update is stored: only one that the heartbeat, or the expiry of
// the worker's lease, proves.
func ProvenUpdate(desired DesiredTask, observed ObservedTask, worker Worker) (TaskUpdate, Reason) {
	switch {
	case !desired.Claimed:
		return NoUpdate, ReasonNone
	case worker.State == WorkerLeaseExpired && desired.Incarnation <= worker.Incarnation:
		return UpdateReleased, ReasonLeaseExpired
	case worker.State != TokenAcknowledged:
		return NoUpdate, ReasonNone // commands of a former shard owner may still be in flight
	case desired.Incarnation < worker.Incarnation:
		return UpdateReleased, ReasonNewIncarnation
	case observed.State == Exited && observed.Attempt == desired.Attempt:
		return updateAfterExit(observed.Cause), ReasonExited
	case desired.Cancelled && observed.lacksAttempt(desired) && worker.AttemptNeverStarted:
		// No controller starts tasks of a cancelled job any more. If the claim were kept,
		// it would count against its team's limit and occupy the machine for as long as
		// the machine's incarnation lasts.
		return UpdateReleased, ReasonNeverStarted
	}
	return NoUpdate, ReasonNone
}

// updateAfterExit returns the update that follows from an exit.
func updateAfterExit(cause ExitCause) TaskUpdate {
	switch cause {
	case ExitDone:
		return UpdateDone
	case ExitFailed:
		return UpdateFailed
	}
	return UpdateReleased
}

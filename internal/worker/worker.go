// Package worker keeps the view that the controller owning a machine has of the machine's worker:
// its current incarnation and whether that has acknowledged the controller's fencing token, the
// tasks in its newest message, its lease, the direct start commands that may still arrive, and the
// images on its disk. From this view and the stored claims the package derives the commands to send
// and the claims whose attempts are proven to have ended. Commands reach a worker in the answers to
// its heartbeats and in direct calls, which are requests from the controller to the worker.
//
// It does no I/O and takes no locks: the caller sends the commands, stores the ends of claims, and
// serializes access. Package recovery decides what happens to a single task; package inventory holds
// the stored record of a machine.
//
// In this package, "our" refers to the controller that owns the machine.
package worker

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Worker is the owning controller's view of the worker on one machine.
type Worker struct {
	Machine     string // name of the machine
	Address     string // where the worker accepts direct calls
	MachineType string
	Zone        string
	Spot        bool

	State       TokenState
	Incarnation uint64
	// Sequence is the sequence number of the newest message: a heartbeat, or the answer to a
	// direct call.
	Sequence uint64
	// HeartbeatSequence is the sequence number of the newest heartbeat that was answered. Answers
	// to direct calls may carry larger ones.
	HeartbeatSequence uint64
	// AcknowledgedToken is the highest fencing token carried by any message of the worker.
	AcknowledgedToken uint64
	// FencingToken is the token sent with our commands to this worker: the first of our membership,
	// or a higher one after FencePendingStarts or FenceExitedAttempts has raised it.
	FencingToken uint64
	// AwaitedToken is the token that the worker has to acknowledge for FencePendingStarts to take
	// effect; 0 if it was never called.
	AwaitedToken uint64

	Tasks         map[jobs.TaskID]wire.TaskStatus // as listed in the newest message: the newest attempt of each task
	OlderAttempts []wire.TaskStatus               // as listed there: the other attempts of those tasks
	RunningSince  map[jobs.TaskID]time.Time       // arrival of the first message that showed the task running
	StopRequested map[jobs.TaskID]bool            // tasks that must leave this machine

	FirstHeardAt   time.Time // arrival of the first message
	LastHeardAt    time.Time // arrival of the newest message
	LastAnsweredAt time.Time // arrival of the last heartbeat that we answered with 200
	AcknowledgedAt time.Time // arrival of the message that acknowledged our token
	TerminationAt  time.Time // when the cloud provider terminates the machine; zero: no notice

	Images        []string        // images used here and not known to be deleted, the most recently used last
	FailedJobs    map[string]bool // jobs with tasks that failed here since the last success of any task
	LastRefusalAt time.Time       // when the worker last refused a task for lack of capacity

	SentCommands map[CommandKey]time.Time // when each direct start and kill was last sent
	LastCallAt   time.Time                // start of the last direct call
	CallInFlight bool                     // a direct call has not returned yet
	Unresponsive bool                     // heartbeats arrive but show no effect of our commands

	// NoPendingCommands is set while there are no commands to send and nothing has changed since
	// that was determined.
	NoPendingCommands bool
	// nothingToReconcile is set while no claim is proven to have ended and nothing has changed
	// since that was determined.
	nothingToReconcile bool

	// pendingStarts counts the direct starts sent to this incarnation and not answered. They may
	// still be carried out.
	pendingStarts map[pendingStart]int
	// directStarts holds the highest fencing token of any direct start of each attempt sent to this
	// incarnation, until a message of the worker carries a higher one. Until then a late copy of the
	// start may arrive, even if the call was answered.
	directStarts map[Attempt]uint64
	// answeredStarts holds the starts sent to this incarnation in direct calls that it answered and in
	// our answers to its heartbeats, with the sequence number of the worker's message: its answer to
	// the call, or the heartbeat. Any heartbeat with a larger sequence number shows their effect.
	answeredStarts map[Attempt]uint64
	// unconfirmedCommands holds the commands sent in answers to heartbeats whose effect no
	// heartbeat has shown yet, with the time of the first such answer.
	unconfirmedCommands map[CommandKey]time.Time
}

// NewWorker returns the view of a machine whose worker has sent nothing yet.
func NewWorker(machine string) *Worker {
	return &Worker{
		Machine:        machine,
		State:          TokenUnacknowledged,
		Tasks:          map[jobs.TaskID]wire.TaskStatus{},
		RunningSince:   map[jobs.TaskID]time.Time{},
		StopRequested:  map[jobs.TaskID]bool{},
		FailedJobs:     map[string]bool{},
		SentCommands:   map[CommandKey]time.Time{},
		pendingStarts:  map[pendingStart]int{},
		directStarts:   map[Attempt]uint64{},
		answeredStarts: map[Attempt]uint64{},
	}
}

// MarkChanged records that an input of Commands or ProvenEnds has changed: the claims on the
// machine, their jobs, or what is known about its worker.
func (w *Worker) MarkChanged() { w.NoPendingCommands, w.nothingToReconcile = false, false }

// Quiescent reports whether the machine needs no work until something changes or time passes: it
// has no command to send, no proven end of a claim, no requested stop and no pending start.
func (w *Worker) Quiescent() bool {
	return w.NoPendingCommands && w.nothingToReconcile && len(w.StopRequested) == 0 && len(w.pendingStarts) == 0
}

// RequestStop records that a task must leave the machine.
func (w *Worker) RequestStop(id jobs.TaskID) {
	w.StopRequested[id] = true
	w.MarkChanged()
}

// PruneStopRequests drops the stop requests of tasks whose claims have been released, and reports
// whether it dropped any. A request is kept until the release, also for a task that has exited:
// the request marks the task's resources as about to become free, and without it further tasks
// would be stopped to free the same amount.
func (w *Worker) PruneStopRequests(claims map[jobs.TaskID]*jobs.Job) bool {
	before := len(w.StopRequested)
	for id := range w.StopRequested {
		if claims[id] == nil {
			delete(w.StopRequested, id)
		}
	}
	return len(w.StopRequested) < before
}

// IsTaskLeaving reports whether a claimed task is about to leave the machine: it was asked to stop,
// or it has exited.
func (w *Worker) IsTaskLeaving(id jobs.TaskID) bool {
	status, listed := w.Tasks[id]
	return w.StopRequested[id] || listed && status.State == wire.TaskExited
}

// Package worker holds what the owner of a machine knows of the machine's
// worker: the incarnation that it talks to and whether that has acknowledged
// the owner's fencing token, the tasks of the newest heartbeat, the lease, the
// direct starts that may yet arrive, and the images on its disk. From this and
// the stored claims it derives the commands that are due and the claims whose
// attempts have surely ended.
//
// It does no I/O and has no lock: the caller sends the commands, stores the
// ends of claims, and serializes access. What becomes of a single task is
// decided in package recovery; the stored record of a machine is in package
// inventory.
package worker

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Worker is the owner's view of one machine's worker.
type Worker struct {
	Machine     string // name of the machine
	Address     string // where the worker takes direct calls
	MachineType string
	Zone        string
	Spot        bool

	State       TokenState
	Incarnation uint64
	// Sequence is that of the newest message: a heartbeat, or the answer to a
	// direct call.
	Sequence uint64
	// HeartbeatSequence is that of the newest heartbeat that was answered;
	// answers to direct calls may have larger ones.
	HeartbeatSequence uint64
	// AcknowledgedToken is the highest fencing token that a message of the worker
	// has carried.
	AcknowledgedToken uint64
	// FencingToken is the one of our commands to this worker: the membership's, or
	// a higher one once pending starts had to be fenced (FencePendingStarts).
	FencingToken uint64

	Tasks        map[jobs.TaskID]wire.TaskStatus // in the newest message
	RunningSince map[jobs.TaskID]time.Time       // arrival of the first message that showed the task running
	Stopping     map[jobs.TaskID]bool            // tasks that are to leave this machine

	FirstHeard     time.Time // arrival of the first message
	LastHeard      time.Time // arrival of the newest message
	LastAnswered   time.Time // arrival of the last heartbeat that we answered with 200
	AcknowledgedAt time.Time // arrival of the message that acknowledged our token
	TerminationAt  time.Time // when the cloud terminates the machine; zero: no notice

	Images      []string        // used here, the last used at the end
	FailedJobs  map[string]bool // jobs whose tasks failed here since the last success
	LastRefusal time.Time       // when the worker last refused a task for lack of room

	SentCommands map[CommandKey]time.Time // direct starts and kills, by when they were sent
	LastCall     time.Time                // start of the last direct call
	CallInFlight bool                     // a direct call has not ended
	Unresponsive bool                     // heartbeats arrive, but show no effect of our commands

	// NoPendingCommands: nothing has changed since there were last no commands
	// to send.
	NoPendingCommands bool
	// nothingToReconcile: nothing has changed since no claim was proven to have
	// ended.
	nothingToReconcile bool

	// pendingStarts counts the direct starts to this incarnation that were sent
	// and not answered. They may yet be carried out.
	pendingStarts map[pendingStart]int
	// answeredStarts holds starts to this incarnation whose call or heartbeat is
	// answered, by the sequence of that message: any heartbeat with a larger one
	// shows their effect.
	answeredStarts map[Attempt]uint64
	// unconfirmedCommands holds commands in answers to heartbeats whose effect no
	// heartbeat has shown, by when the first of those answers was sent.
	unconfirmedCommands map[CommandKey]time.Time
}

// NewWorker returns the view of a machine whose worker has sent nothing yet.
func NewWorker(machine string) *Worker {
	return &Worker{
		Machine:        machine,
		State:          TokenUnacknowledged,
		Tasks:          map[jobs.TaskID]wire.TaskStatus{},
		RunningSince:   map[jobs.TaskID]time.Time{},
		Stopping:       map[jobs.TaskID]bool{},
		FailedJobs:     map[string]bool{},
		SentCommands:   map[CommandKey]time.Time{},
		pendingStarts:  map[pendingStart]int{},
		answeredStarts: map[Attempt]uint64{},
	}
}

// MarkChanged notes a change of what commands and ends of claims follow from:
// the claims on the machine, their jobs, or what is known of its worker.
func (w *Worker) MarkChanged() { w.NoPendingCommands, w.nothingToReconcile = false, false }

// Quiescent reports whether nothing is due for the machine until something
// changes or time passes: no command, no end of a claim, no pending start.
func (w *Worker) Quiescent() bool {
	return w.NoPendingCommands && w.nothingToReconcile && len(w.Stopping) == 0 && len(w.pendingStarts) == 0
}

// RequestStop notes that a task is to leave the machine.
func (w *Worker) RequestStop(id jobs.TaskID) {
	w.Stopping[id] = true
	w.MarkChanged()
}

// PruneStopping drops the requests to stop tasks whose claims are released, and
// reports whether it dropped any. Until its release a request stands, also for
// an exited task: its room is about to be free, and without the request other
// tasks would be stopped for the same room.
func (w *Worker) PruneStopping(claims map[jobs.TaskID]*jobs.Job) bool {
	before := len(w.Stopping)
	for id := range w.Stopping {
		if claims[id] == nil {
			delete(w.Stopping, id)
		}
	}
	return len(w.Stopping) < before
}

// IsLeaving reports whether a claimed task is about to leave the machine.
func (w *Worker) IsLeaving(id jobs.TaskID) bool {
	status, listed := w.Tasks[id]
	return w.Stopping[id] || listed && status.State == wire.TaskExited
}

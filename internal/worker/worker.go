// Package fleet holds machines: the sessions of their workers, their stored
// records, the cloud's client and the leader's capacity plan.
package worker

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Worker is the owner's view of one machine's worker.
type Worker struct {
	Machine           string
	Address           string
	MachineType       string
	Zone              string
	Spot              bool
	State             TokenState
	Incarnation       uint64
	Sequence          uint64 // of the newest message
	HeartbeatSequence uint64 // of the newest report; answers to direct calls come between
	AcknowledgedToken uint64 // highest that the worker has shown
	Tasks             map[jobs.TaskID]wire.TaskStatus
	RunningSince      map[jobs.TaskID]time.Time // arrival of the first message that showed the task running
	LastHeard         time.Time                 // arrival of the last message
	FirstHeard        time.Time                 // arrival of the first message
	LastAnswered      time.Time                 // arrival of the last report that we answered with 200
	AcknowledgedAt    time.Time                 // arrival of the message that proved the session
	TerminationAt     time.Time                 // when the cloud takes the machine; zero: no notice
	Stopping          map[jobs.TaskID]bool      // tasks that we want off this machine

	// FencingToken of our commands to this worker; the membership's, or above it once
	// starts had to be made void (InvalidateStarts).
	FencingToken uint64
	// Direct starts of this session that were sent and not answered, by the
	// token that they carry. They may yet be carried out.
	pendingStarts map[pendingStart]int
	// Starts of this session that are over, by the message that shows what came
	// of them: any report with a larger sequence.
	answeredStarts map[Attempt]uint64

	// Commands in answers to reports that no report has shown as carried out,
	// by when the first of those answers went.
	unconfirmedCommands map[CommandKey]time.Time

	Images             []string                 // seen here, newest last
	FailedJobs         map[string]bool          // jobs whose tasks failed here since the last success
	LastRefusal        time.Time                // last refusal for want of room
	SentCommands       map[CommandKey]time.Time // direct starts and kills, by when
	LastCall           time.Time                // last direct call
	CallInFlight       bool                     // a direct call is under way
	Unresponsive       bool                     // it reports, but nothing that it is told shows
	NoPendingCommands  bool                     // nothing has changed since it last had no orders to send
	nothingToReconcile bool                     // nothing has changed since no claim's end could be proven
}

// NewWorker returns the view of a machine that has not been heard.
func NewWorker(host string) *Worker {
	return &Worker{Machine: host, State: TokenUnacknowledged, Tasks: map[jobs.TaskID]wire.TaskStatus{}, RunningSince: map[jobs.TaskID]time.Time{}, Stopping: map[jobs.TaskID]bool{},
		pendingStarts: map[pendingStart]int{}, answeredStarts: map[Attempt]uint64{}, FailedJobs: map[string]bool{}, SentCommands: map[CommandKey]time.Time{}}
}

// RequestStop notes that a task is wanted off the machine.
func (w *Worker) RequestStop(id jobs.TaskID) {
	w.Stopping[id] = true
	w.MarkChanged()
}

// MarkChanged notes that something has changed that commands or proofs follow from:
// the claims on the machine, their jobs, or what is known of its worker.
func (w *Worker) MarkChanged() { w.NoPendingCommands, w.nothingToReconcile = false, false }

// PruneStopping forgets the wish to stop tasks whose claim is released. Until
// then it stands, also for an exited task: its room is about to be free, and
// stopping others for the same room would be in vain.
// It reports whether it forgot any.
func (w *Worker) PruneStopping(claims map[jobs.TaskID]*jobs.Job) bool {
	before := len(w.Stopping)
	for id := range w.Stopping {
		if claims[id] == nil {
			delete(w.Stopping, id)
		}
	}
	return len(w.Stopping) < before
}

// IsLeaving reports whether a claimed task is on its way off the machine.
func (w *Worker) IsLeaving(id jobs.TaskID) bool {
	s, on := w.Tasks[id]
	return w.Stopping[id] || on && s.State == wire.TaskExited
}

// Quiescent reports whether nothing is due for the machine until something
// changes or time passes: no command, no proof, no start that may yet arrive.
func (w *Worker) Quiescent() bool {
	return w.NoPendingCommands && w.nothingToReconcile && len(w.Stopping) == 0 && len(w.pendingStarts) == 0
}

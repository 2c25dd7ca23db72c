package fake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Worker is a machine's worker: its session and tasks, and what it does when it
// is told to. It does no I/O and keeps no time of its own.
type Worker struct {
	Host      string
	Address   string
	Type      string
	Zone      string
	Spot      bool
	Session   uint64
	Sequence  uint64
	Token     uint64           // highest seen
	Tasks     map[string]*Task // by task and attempt
	Renewed   time.Time        // sending of the last answered report
	ImageTime time.Duration    // a fetch takes so long
	// Begins is called when a task is about to run, and says for how long; 0: it
	// does not end by itself.
	Begins func(w *Worker, t *Task) time.Duration
	Orders *OrderLog // takes what the worker is told; nil: nobody does
	// Ended is called when a task that ran is over; nil: by nobody.
	Ended func(w *Worker, t *Task)
}

// Task is an attempt on a worker.
type Task struct {
	wire.TaskStatus
	JobID string
	Ready time.Time // its image is there
	Ends  time.Time // zero: never
}

// Report is the worker's next report.
func (w *Worker) Report() wire.Heartbeat {
	w.Sequence++
	r := wire.Heartbeat{Machine: w.Host, Address: w.Address, MachineType: w.Type, Zone: w.Zone, Spot: w.Spot, Incarnation: w.Session, Sequence: w.Sequence, FencingToken: w.Token}
	for _, key := range slices.Sorted(maps.Keys(w.Tasks)) {
		r.Tasks = append(r.Tasks, w.Tasks[key].TaskStatus)
	}
	return r
}

// CarryOut carries out commands in their order.
func (w *Worker) CarryOut(now time.Time, commands []wire.Command) {
	if w.Orders != nil {
		w.Orders.Note(now, w, commands)
	}
	for _, c := range commands {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := w.Tasks[key]
		switch c.Verb {
		case wire.VerbStart:
			if t == nil {
				jobID, _, _ := jobs.ParseTaskName(c.Task)
				started := wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskPulling}
				w.Tasks[key] = &Task{TaskStatus: started, JobID: jobID, Ready: now.Add(w.ImageTime)}
				w.Advance(now)
			}
		case wire.VerbKill:
			if t != nil && t.State != wire.TaskExited {
				w.end(t, wire.ExitCauseStopped)
			}
		case wire.VerbReap:
			if t != nil && t.State == wire.TaskExited {
				delete(w.Tasks, key)
			}
		}
	}
}

// Advance lets tasks that have their image run, and ends those whose time is up.
// It reports whether any state has changed.
func (w *Worker) Advance(now time.Time) (changed bool) {
	for _, t := range w.Tasks {
		if t.State == wire.TaskPulling && !now.Before(t.Ready) {
			runs := w.Begins(w, t)
			t.State, changed = wire.TaskRunning, true
			if runs > 0 {
				t.Ends = now.Add(runs)
			}
		}
		if t.State == wire.TaskRunning && !t.Ends.IsZero() && !now.Before(t.Ends) {
			w.end(t, wire.ExitCauseDone)
			changed = true
		}
	}
	return changed
}

// end is the one place where a task ends.
func (w *Worker) end(t *Task, cause string) {
	ran := t.State == wire.TaskRunning
	t.State, t.ExitCause = wire.TaskExited, cause
	if ran && w.Ended != nil {
		w.Ended(w, t)
	}
}

// EndSession ends the session: everything in it is gone.
func (w *Worker) EndSession(now time.Time) {
	for _, t := range w.Tasks {
		if t.State != wire.TaskExited {
			w.end(t, wire.ExitCauseStopped)
		}
	}
	clear(w.Tasks)
	w.Session++
	w.Renewed = now
}

// Answered takes the answer to a report that was sent at a time, unless its token
// is too low.
func (w *Worker) Answered(sent time.Time, r wire.HeartbeatResponse) bool {
	if r.FencingToken < w.Token {
		return false
	}
	w.Token, w.Renewed = r.FencingToken, sent
	return true
}

// Take carries out a direct call, and returns the status and the report of after.
func (w *Worker) Take(now time.Time, c wire.CommandRequest) (int, wire.Heartbeat) {
	status := 409
	if c.FencingToken >= w.Token && c.Incarnation == w.Session {
		status = 200
		w.Token = c.FencingToken
		w.CarryOut(now, c.Commands)
	}
	return status, w.Report()
}

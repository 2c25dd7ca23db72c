package fake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Worker is a machine's worker: its incarnation and tasks, and how it carries out
// commands. It does no I/O, has no clock of its own, and needs a lock around it.
type Worker struct {
	Machine        string // name of the machine
	Address        string // for direct calls
	Type           string // of the machine
	Zone           string
	Spot           bool
	Incarnation    uint64           // the incarnation
	Sequence       uint64           // of the last heartbeat
	FencingToken   uint64           // highest fencing token seen
	Tasks          map[string]*Task // by attempt (task name, "#", attempt)
	LeaseRenewedAt time.Time        // when the last answered heartbeat was sent: the lease runs from then
	ImagePullTime  time.Duration    // of an image pull
	// OnTaskStart is called when a task is about to run, and returns for how long it
	// will; 0: until it is told to stop.
	OnTaskStart func(w *Worker, t *Task) time.Duration
	Commands    *CommandLog // records the commands; nil: nothing does
	// OnTaskEnd is called when a task that ran has ended; nil: by nobody.
	OnTaskEnd func(w *Worker, t *Task)
}

// Task is an attempt on a worker.
type Task struct {
	wire.TaskStatus
	JobID string
	Ready time.Time // when its image is pulled
	Ends  time.Time // when it ends by itself; zero: never
}

// attemptKey is the key in Worker.Tasks of the attempt that a command is for.
func attemptKey(command wire.Command) string {
	return fmt.Sprintf("%s#%d", command.Task, command.Attempt)
}

// NextHeartbeat returns the worker's next heartbeat.
func (w *Worker) NextHeartbeat() wire.Heartbeat {
	w.Sequence++
	heartbeat := wire.Heartbeat{
		Machine:      w.Machine,
		Address:      w.Address,
		MachineType:  w.Type,
		Zone:         w.Zone,
		Spot:         w.Spot,
		Incarnation:  w.Incarnation,
		Sequence:     w.Sequence,
		FencingToken: w.FencingToken,
	}
	for _, key := range slices.Sorted(maps.Keys(w.Tasks)) {
		heartbeat.Tasks = append(heartbeat.Tasks, w.Tasks[key].TaskStatus)
	}
	return heartbeat
}

// CarryOut carries out commands in their order.
func (w *Worker) CarryOut(now time.Time, commands []wire.Command) {
	if w.Commands != nil {
		w.Commands.Record(now, w, commands)
	}
	for _, command := range commands {
		key := attemptKey(command)
		task := w.Tasks[key]
		switch command.Verb {
		case wire.VerbStart:
			if task == nil {
				w.startTask(now, key, command)
			}
		case wire.VerbKill:
			if task != nil && task.State != wire.TaskExited {
				w.endTask(task, wire.ExitCauseStopped)
			}
		case wire.VerbReap:
			if task != nil && task.State == wire.TaskExited {
				delete(w.Tasks, key)
			}
		}
	}
}

// startTask begins the image pull of a new attempt.
func (w *Worker) startTask(now time.Time, key string, command wire.Command) {
	jobID, _, _ := jobs.ParseTaskName(command.Task) // a name that is none belongs to no job
	w.Tasks[key] = &Task{
		TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskPulling},
		JobID:      jobID,
		Ready:      now.Add(w.ImagePullTime),
	}
	w.Advance(now)
}

// Advance lets tasks that have their image run, and ends those whose time is up.
// It reports whether any state has changed.
func (w *Worker) Advance(now time.Time) (changed bool) {
	for _, task := range w.Tasks {
		if task.State == wire.TaskPulling && !now.Before(task.Ready) {
			duration := w.OnTaskStart(w, task)
			task.State, changed = wire.TaskRunning, true
			if duration > 0 {
				task.Ends = now.Add(duration)
			}
		}
		if task.State == wire.TaskRunning && !task.Ends.IsZero() && !now.Before(task.Ends) {
			w.endTask(task, wire.ExitCauseDone)
			changed = true
		}
	}
	return changed
}

// endTask is the one place where a task ends.
func (w *Worker) endTask(task *Task, cause string) {
	ran := task.State == wire.TaskRunning
	task.State, task.ExitCause = wire.TaskExited, cause
	if ran && w.OnTaskEnd != nil {
		w.OnTaskEnd(w, task)
	}
}

// EndIncarnation ends the incarnation, as a worker does whose lease has expired: its
// tasks are stopped and forgotten, and the next incarnation begins.
func (w *Worker) EndIncarnation(now time.Time) {
	for _, task := range w.Tasks {
		if task.State != wire.TaskExited {
			w.endTask(task, wire.ExitCauseStopped)
		}
	}
	clear(w.Tasks)
	w.Incarnation++
	w.LeaseRenewedAt = now
}

// RenewLease renews the lease by the answer to a heartbeat that was sent at a time.
// It reports false, and does nothing, if the fencing token is lower than one seen.
func (w *Worker) RenewLease(sent time.Time, response wire.HeartbeatResponse) bool {
	if response.FencingToken < w.FencingToken {
		return false
	}
	w.FencingToken, w.LeaseRenewedAt = response.FencingToken, sent
	return true
}

// HandleDirectCall carries out the commands of a direct call unless the call is fenced out or
// for another incarnation. It returns the HTTP status and the heartbeat after it.
func (w *Worker) HandleDirectCall(now time.Time, request wire.CommandRequest) (int, wire.Heartbeat) {
	if request.FencingToken < w.FencingToken || request.Incarnation != w.Incarnation {
		return fasthttp.StatusConflict, w.NextHeartbeat()
	}
	w.FencingToken = request.FencingToken
	w.CarryOut(now, request.Commands)
	return fasthttp.StatusOK, w.NextHeartbeat()
}

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

// Worker is a fake worker: it holds the incarnation and tasks of one machine and carries out
// commands. It does no I/O and has no clock; callers pass the time and synchronize access.
type Worker struct {
	Machine        string // name of the machine
	Address        string // for direct calls
	MachineType    string
	Zone           string
	Spot           bool
	Incarnation    uint64           // current incarnation
	Sequence       uint64           // sequence number of the last heartbeat
	FencingToken   uint64           // highest fencing token seen
	Tasks          map[string]*Task // by attemptKey
	LeaseRenewedAt time.Time        // send time of the last answered heartbeat, from which the lease runs
	ImagePullTime  time.Duration    // duration of an image pull
	// OnTaskStart is called when a task is about to run and returns its run time; 0: the task
	// runs until a kill command. It must be set.
	OnTaskStart func(w *Worker, t *Task) time.Duration
	CommandLog  *CommandLog // records the commands; may be nil
	// OnTaskEnd, if set, is called when a running task has ended.
	OnTaskEnd func(w *Worker, t *Task)
}

// Task is an attempt of a task on a worker.
type Task struct {
	wire.TaskStatus
	JobID    string
	PulledAt time.Time // when its image pull completes
	EndsAt   time.Time // when it completes by itself; zero: never
}

// attemptKey returns the key in Worker.Tasks of the attempt that a command addresses: the task
// name, "#" and the attempt number.
func attemptKey(command wire.Command) string {
	return fmt.Sprintf("%s#%d", command.Task, command.Attempt)
}

// NextHeartbeat returns the worker's next heartbeat.
func (w *Worker) NextHeartbeat() wire.Heartbeat {
	w.Sequence++
	heartbeat := wire.Heartbeat{
		Machine:      w.Machine,
		Address:      w.Address,
		MachineType:  w.MachineType,
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

// Execute carries out commands in order.
func (w *Worker) Execute(now time.Time, commands []wire.Command) {
	if w.CommandLog != nil {
		w.CommandLog.Record(now, w, commands)
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

// startTask adds a new attempt and starts its image pull.
func (w *Worker) startTask(now time.Time, key string, command wire.Command) {
	jobID, _, _ := jobs.ParseTaskName(command.Task) // an invalid name belongs to no job
	w.Tasks[key] = &Task{
		TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskPulling},
		JobID:      jobID,
		PulledAt:   now.Add(w.ImagePullTime),
	}
	w.Advance(now)
}

// Advance starts the tasks whose image pull is complete and ends those whose run time is over.
// It reports whether the state of any task has changed.
func (w *Worker) Advance(now time.Time) (changed bool) {
	for _, task := range w.Tasks {
		if task.State == wire.TaskPulling && !now.Before(task.PulledAt) {
			duration := w.OnTaskStart(w, task)
			task.State, changed = wire.TaskRunning, true
			if duration > 0 {
				task.EndsAt = now.Add(duration)
			}
		}
		if task.State == wire.TaskRunning && !task.EndsAt.IsZero() && !now.Before(task.EndsAt) {
			w.endTask(task, wire.ExitCauseDone)
			changed = true
		}
	}
	return changed
}

// endTask marks a task as exited and calls OnTaskEnd if the task was running. Every task ends
// here.
func (w *Worker) endTask(task *Task, cause string) {
	ran := task.State == wire.TaskRunning
	task.State, task.ExitCause = wire.TaskExited, cause
	if ran && w.OnTaskEnd != nil {
		w.OnTaskEnd(w, task)
	}
}

// EndIncarnation ends the incarnation, as a worker does when its lease expires: it stops and
// removes all tasks and begins the next incarnation.
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

// RenewLease renews the lease with the response to a heartbeat, from the time the heartbeat was
// sent. If the fencing token is lower than one already seen, it does nothing and returns false.
func (w *Worker) RenewLease(sent time.Time, response wire.HeartbeatResponse) bool {
	if response.FencingToken < w.FencingToken {
		return false
	}
	w.FencingToken, w.LeaseRenewedAt = response.FencingToken, sent
	return true
}

// HandleDirectCall carries out the commands of a direct call from a controller, unless its
// fencing token is lower than one already seen or it is for another incarnation. It returns the
// HTTP status and the next heartbeat.
func (w *Worker) HandleDirectCall(now time.Time, request wire.CommandRequest) (int, wire.Heartbeat) {
	if request.FencingToken < w.FencingToken || request.Incarnation != w.Incarnation {
		return fasthttp.StatusConflict, w.NextHeartbeat()
	}
	w.FencingToken = request.FencingToken
	w.Execute(now, request.Commands)
	return fasthttp.StatusOK, w.NextHeartbeat()
}

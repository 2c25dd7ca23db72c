package worker

import (
	"slices"
	"strconv"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// CommandKey is one command about one attempt. It was carried out once a
// heartbeat shows its effect.
type CommandKey struct{ verb, task string }

// CommandKeyOf returns the key of a command.
func CommandKeyOf(command wire.Command) CommandKey {
	return CommandKey{command.Verb, commandTask(command.Task, command.Attempt)}
}

// commandTask names an attempt of a task in a command's key.
func commandTask(task string, attempt uint64) string {
	return task + "#" + strconv.FormatUint(attempt, 10)
}

// Channel is a way to send commands to a worker.
type Channel int

// Channels to a worker.
const (
	HeartbeatAnswer Channel = iota // the answer to a heartbeat
	DirectCall                     // a call of ours
)

// CommandOptions say how commands are about to be sent, and which starts may be.
type CommandOptions struct {
	Channel     Channel
	AllowStarts bool // the key-value store can be read
	Now         time.Time
	// AwaitCall keeps a start out of an answer while a direct call that holds it
	// has just been sent.
	AwaitCall bool
	// ResendAfterCall is how long a start that was sent by a direct call is not sent
	// so again.
	ResendAfterCall time.Duration
	// RestartAfterAnswer is how long a start that was sent in an answer to a heartbeat is
	// not sent again by a direct call: until the next heartbeat shows its effect.
	RestartAfterAnswer time.Duration
	// AdmitStart takes a start that is due from the rate of starts; false if it has to
	// wait. nil: there is no bound.
	AdmitStart func(job *jobs.Job) bool
}

// Commands returns the commands that the stored claims call for, in the order of
// their tasks. postponed says that there are starts which have to wait or are in
// flight. Reaps may be sent in answers to heartbeats only: a start in the answer
// to an earlier heartbeat is then surely over, while a reap in a direct call
// could overtake it.
func (w *Worker) Commands(claims map[jobs.TaskID]*jobs.Job, options CommandOptions) (commands []wire.Command, postponed bool) {
	if w.State == LeaseExpired {
		return nil, false
	}
	observed := w.observedWorker()
	observed.AllowStarts = options.AllowStarts
	for _, id := range w.taskIDs(claims) {
		if len(commands) >= tuning.TasksPerMachine {
			break // the next answer holds the rest
		}
		job := claims[id]
		var task jobs.Task
		if job != nil {
			task = job.Claims[id.Task]
		}
		status, listed := w.Tasks[id]
		observed.StartPending = listed && w.isStartPending(Attempt{id, status.Attempt})
		observed.Stopping = w.Stopping[id]
		decision := recovery.Commands(desiredTask(job, task), observedTask(status, listed), observed)
		if stop, due := stopCommand(decision.Stop, job, status); due {
			commands = append(commands, stop)
		}
		if !decision.Start {
			continue
		}
		if w.isStartInFlight(Attempt{id, task.Attempt}, options) || options.AdmitStart != nil && !options.AdmitStart(job) {
			postponed = true
			continue
		}
		commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: id.String(), Attempt: task.Attempt})
	}
	return commands, postponed
}

// noGrace is the grace period of every kill that grants none. All of them share it,
// and nothing writes to it: one for each kill costs an allocation on every heartbeat.
var noGrace = new(float64)

// stopCommand is the command that ends a listed task, if one is due. job is that
// of the task's claim, nil if there is none.
func stopCommand(stop recovery.StopCommand, job *jobs.Job, status wire.TaskStatus) (command wire.Command, due bool) {
	command = wire.Command{Task: status.Task, Attempt: status.Attempt}
	switch stop {
	case recovery.Kill:
		command.Verb, command.GracePeriodS = wire.VerbKill, noGrace
	case recovery.KillWithCheckpoint:
		command.Verb, command.GracePeriodS = wire.VerbKill, noGrace
		if spec := job.Record.Spec; spec != nil {
			grace := spec.CheckpointWriteS
			command.GracePeriodS = &grace
		}
	case recovery.Reap:
		command.Verb = wire.VerbReap
	default:
		return wire.Command{}, false
	}
	return command, true
}

// isStartInFlight reports whether a start of the attempt was sent to the worker,
// and its effect will show by itself: a direct call that has not ended, or the
// answer to a heartbeat that no later one has followed. Guards against sending
// workers twice what they are about to do: after an outage of all controllers, a
// fifth of the starts were.
func (w *Worker) isStartInFlight(attempt Attempt, options CommandOptions) bool {
	if options.Channel == HeartbeatAnswer {
		// The heartbeat is newer than any answer before it. A call that takes long
		// may never arrive, while answers do.
		return options.AwaitCall && w.CallInFlight && w.isStartPending(attempt) && options.Now.Sub(w.LastCall) < tuning.StartCallGrace
	}
	start := CommandKey{wire.VerbStart, commandTask(attempt.ID.String(), attempt.Number)}
	if sent, ok := w.SentCommands[start]; ok && options.Now.Sub(sent) <= options.ResendAfterCall {
		return true
	}
	_, answered := w.answeredStarts[attempt]
	return answered && options.Now.Sub(w.LastAnswered) < options.RestartAfterAnswer
}

// taskIDs lists the tasks that are claimed for the machine or listed by it, in
// order.
func (w *Worker) taskIDs(claims map[jobs.TaskID]*jobs.Job) []jobs.TaskID {
	ids := make([]jobs.TaskID, 0, len(claims)+len(w.Tasks))
	for id := range claims {
		if _, listed := w.Tasks[id]; !listed {
			ids = append(ids, id)
		}
	}
	for id := range w.Tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTaskIDs)
	return ids
}

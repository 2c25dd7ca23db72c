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

// CommandKey identifies a command to a worker by its verb and the attempt that it is about. The
// command counts as carried out once a heartbeat shows its effect.
type CommandKey struct{ verb, attempt string }

// CommandKeyOf returns the key of a command.
func CommandKeyOf(command wire.Command) CommandKey {
	return CommandKey{command.Verb, attemptKey(command.Task, command.Attempt)}
}

// attemptKey returns the form of an attempt of a task in a CommandKey.
func attemptKey(task string, attempt uint64) string {
	return task + "#" + strconv.FormatUint(attempt, 10)
}

// Channel is the means by which commands are sent to a worker.
type Channel int

// Channels by which commands reach a worker.
const (
	HeartbeatAnswer Channel = iota // the answer to a heartbeat
	DirectCall                     // a request from this controller to the worker
)

// CommandOptions say how commands are about to be sent and which starts may be among them.
type CommandOptions struct {
	Channel     Channel
	AllowStarts bool // whether tasks may be started, which requires a readable key-value store
	Now         time.Time
	// OmitStartsInCall omits a start from the answer to a heartbeat while a direct call that contains
	// it is in flight and has just been sent.
	OmitStartsInCall bool
	// ResendAfterCall is the shortest time between two direct calls that contain the same start.
	ResendAfterCall time.Duration
	// ResendAfterAnswer is the shortest time between the answer to a heartbeat that contains a start
	// and a direct call that repeats it, unless a later heartbeat shows first that it had no effect.
	ResendAfterAnswer time.Duration
	// AdmitStart reports whether the limit on the rate of starts admits a due start of a job now, and
	// counts it if so. If nil, the rate is not limited.
	AdmitStart func(job *jobs.Job) bool
}

// Commands returns the commands that the stored claims require, ordered by task. postponed reports
// whether any starts were left out because they have to wait or are in flight. Reaps may be sent only
// in answers to heartbeats: by then the worker has carried out or dropped any start in the answer to
// an earlier heartbeat, while a reap in a direct call could overtake that start.
func (w *Worker) Commands(claims map[jobs.TaskID]*jobs.Job, options CommandOptions) (commands []wire.Command, postponed bool) {
	if w.State == LeaseExpired {
		return nil, false
	}
	observed := w.observedWorker()
	observed.AllowStarts = options.AllowStarts
	for _, id := range w.taskIDs(claims) {
		if len(commands) >= tuning.TasksPerMachine {
			break // the next answer contains the rest
		}
		job, task := claimOf(claims, id)
		status, listed := w.Tasks[id]
		observed.StartPending = listed && w.mayStartArrive(Attempt{id, status.Attempt})
		observed.TaskStopRequested = w.StopRequested[id]
		decision := recovery.Commands(desiredTask(job, task), observedTask(status, listed), observed)
		if stop, due := stopCommand(decision.Stop, job, status); due {
			commands = append(commands, stop)
		}
		if !decision.Start {
			continue
		}
		if len(commands) >= tuning.TasksPerMachine || w.isStartInFlight(Attempt{id, task.Attempt}, options) ||
			options.AdmitStart != nil && !options.AdmitStart(job) {
			postponed = true
			continue
		}
		commands = append(commands, wire.Command{Verb: wire.VerbStart, Task: id.String(), Attempt: task.Attempt})
	}
	return w.appendOlderReaps(commands, claims, observed), postponed
}

// appendOlderReaps appends the reaps of exited attempts of tasks of which a newer attempt is listed as
// well.
func (w *Worker) appendOlderReaps(commands []wire.Command, claims map[jobs.TaskID]*jobs.Job, observed recovery.Worker) []wire.Command {
	for _, status := range w.OlderAttempts {
		id, ok := taskIDOf(status)
		if !ok || status.State != wire.TaskExited || len(commands) >= tuning.TasksPerMachine {
			continue
		}
		job, task := claimOf(claims, id)
		observed.StartPending = w.mayStartArrive(Attempt{id, status.Attempt})
		decision := recovery.Commands(desiredTask(job, task), observedTask(status, true), observed)
		if reap, due := stopCommand(decision.Stop, job, status); due {
			commands = append(commands, reap)
		}
	}
	return commands
}

// claimOf returns the claim of a task, and its job; nil and the zero task if it is not claimed.
func claimOf(claims map[jobs.TaskID]*jobs.Job, id jobs.TaskID) (*jobs.Job, jobs.Task) {
	job := claims[id]
	if job == nil {
		return nil, jobs.Task{}
	}
	return job, job.Claims[id.Task]
}

// taskIDOf returns the task that a status is about. It returns false if its name is not valid.
func taskIDOf(status wire.TaskStatus) (jobs.TaskID, bool) {
	jobID, task, ok := jobs.ParseTaskName(status.Task)
	return jobs.TaskID{Job: jobID, Task: task}, ok
}

// noGrace is the grace period of every kill that grants none. All of them share it, and nothing writes
// to it: a separate value for each kill would cost an allocation on every heartbeat.
var noGrace = new(float64)

// stopCommand returns the command that kills or reaps a listed task, if one is due. job is the
// job of the task's claim, or nil if the task is not claimed.
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

// isStartInFlight reports whether a start of the attempt was sent recently and its effect is still
// expected to show: in a direct call, or in the answer to a heartbeat that no later one has followed.
// Such a start is not sent again; without this check, a fifth of the starts after an outage of all
// controllers were sent twice.
func (w *Worker) isStartInFlight(attempt Attempt, options CommandOptions) bool {
	if options.Channel == HeartbeatAnswer {
		// The heartbeat being answered already shows the effect of earlier answers. A direct call
		// that takes longer than StartCallGrace may never arrive, while answers to heartbeats do.
		return options.OmitStartsInCall && w.CallInFlight && w.isStartPending(attempt) && options.Now.Sub(w.LastCallAt) < tuning.StartCallGrace
	}
	key := CommandKey{wire.VerbStart, attemptKey(attempt.Task.String(), attempt.Number)}
	if sent, ok := w.SentCommands[key]; ok && options.Now.Sub(sent) <= options.ResendAfterCall {
		return true
	}
	_, answered := w.answeredStarts[attempt]
	return answered && options.Now.Sub(w.LastAnsweredAt) < options.ResendAfterAnswer
}

// taskIDs returns, in order, the tasks that are claimed for the machine or listed in the newest
// message of its worker.
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

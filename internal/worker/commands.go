package worker

import (
	"sort"
	"strconv"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// CommandKey is one command about one attempt. A report must show its effect to
// prove that it was carried out.
type CommandKey struct{ verb, task string }

// KeyOf returns the key of a command.
func KeyOf(o wire.Command) CommandKey {
	return CommandKey{o.Verb, commandTask(o.Task, o.Attempt)}
}

// commandTask names an attempt of a task in a command's key.
func commandTask(task string, attempt uint64) string {
	return task + "#" + strconv.FormatUint(attempt, 10)
}

// Channel is a way to tell a worker something.
type Channel int

// Channels to a worker.
const (
	HeartbeatAnswer Channel = iota // the answer to a report
	DirectCall                     // a call of ours
)

// CommandOptions say how commands are about to go, and which starts may.
type CommandOptions struct {
	Channel     Channel
	AllowStarts bool // the state service can be read
	Now         time.Time
	// AwaitCall keeps a start out of an answer while a direct call that holds it
	// has just been sent.
	AwaitCall bool
	// ResendAfter is how long a start that went directly is not sent so again.
	ResendAfter time.Duration
	// RepeatAfter is how long a start that went in an answer to a report is not sent
	// again directly: until the next report shows what came of it.
	RepeatAfter time.Duration
	// AdmitStart takes a start that is due from the rate of starts; false if it has to
	// wait. nil: there is no bound.
	AdmitStart func(j *jobs.Job) bool
}

// Commands returns the commands that the stored claims call for. postponed says
// that there are starts which have to wait, or are under way. Reaps in it may
// travel in report responses only: a start in the response to an earlier report
// is then surely over, while a direct reap could overtake it.
func (w *Worker) Commands(claims map[jobs.TaskID]*jobs.Job, o CommandOptions) (out []wire.Command, postponed bool) {
	if w.State == LeaseExpired {
		return nil, false
	}
	session := w.observedWorker()
	session.AllowStarts = o.AllowStarts
	zero := 0.0
	for _, id := range w.taskIDs(claims) {
		if len(out) >= tuning.TasksPerMachine {
			break // the next answer holds the rest
		}
		j := claims[id]
		var t jobs.Task
		if j != nil {
			t = j.Claims[id.Task]
		}
		s, on := w.Tasks[id]
		session.StartPending = on && w.isStartPending(Attempt{id, s.Attempt})
		session.Stopping = w.Stopping[id]
		d := recovery.Commands(desiredTask(j, t), observedTask(s, on), session)
		switch d.Stop {
		case recovery.Kill:
			out = append(out, wire.Command{Verb: wire.VerbKill, Task: s.Task, Attempt: s.Attempt, GracePeriodS: &zero})
		case recovery.KillWithCheckpoint:
			grace := 0.0
			if spec := j.Record.Spec; spec != nil {
				grace = spec.CheckpointWriteS
			}
			out = append(out, wire.Command{Verb: wire.VerbKill, Task: s.Task, Attempt: s.Attempt, GracePeriodS: &grace})
		case recovery.Reap:
			out = append(out, wire.Command{Verb: wire.VerbReap, Task: s.Task, Attempt: s.Attempt})
		}
		if !d.Start {
			continue
		}
		if w.startInFlight(Attempt{id, t.Attempt}, o) || o.AdmitStart != nil && !o.AdmitStart(j) {
			postponed = true
			continue
		}
		out = append(out, wire.Command{Verb: wire.VerbStart, Task: id.String(), Attempt: t.Attempt})
	}
	return out, postponed
}

// startInFlight reports whether a start of the attempt has gone to the worker,
// and what came of it will show by itself: a direct call that has not ended, or
// the answer to a report that no later one has followed. Guards against telling
// workers twice what they are about to do: after an outage of all nodes, a fifth
// of the starts were.
func (w *Worker) startInFlight(a Attempt, o CommandOptions) bool {
	if o.Channel == HeartbeatAnswer {
		// The report is newer than any answer before it. A call that takes long
		// may never arrive, while answers do.
		return o.AwaitCall && w.CallInFlight && w.isStartPending(a) && o.Now.Sub(w.LastCall) < tuning.StartCallGrace
	}
	start := CommandKey{wire.VerbStart, commandTask(a.ID.String(), a.Number)}
	if sent, ok := w.SentCommands[start]; ok && o.Now.Sub(sent) <= o.ResendAfter {
		return true
	}
	_, answered := w.answeredStarts[a]
	return answered && o.Now.Sub(w.LastAnswered) < o.RepeatAfter
}

// taskIDs lists the tasks that are claimed for the machine or listed by it, in
// order.
func (w *Worker) taskIDs(claims map[jobs.TaskID]*jobs.Job) []jobs.TaskID {
	ids := make([]jobs.TaskID, 0, len(claims)+len(w.Tasks))
	for id := range claims {
		if _, on := w.Tasks[id]; !on {
			ids = append(ids, id)
		}
	}
	for id := range w.Tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a].Less(ids[b]) })
	return ids
}

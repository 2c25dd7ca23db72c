// Package fleet holds machines: the sessions of their workers, their stored
// records, the cloud's client and the leader's capacity plan.
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

// TokenState is what the owner of a machine knows of its worker's session.
type TokenState string

// States of a worker's session, as its owner sees it.
const (
	// TokenUnacknowledged: no report of the current session has shown our token yet; a
	// former owner's commands may still be under way.
	TokenUnacknowledged TokenState = "unproven"
	// TokenAcknowledged: a report of the current session has shown our token, so that all
	// commands under lower tokens are dead. It stays proven under the tokens
	// after it for as long as each membership gives the machine to this node.
	TokenAcknowledged TokenState = "proven"
	// LeaseExpired: the worker's lease has surely ended; everything in the session
	// is gone.
	LeaseExpired TokenState = "expired"
)

// TokenEvent changes a session's state.
type TokenEvent string

// Events of a worker's session.
const (
	EventTokenRaised       TokenEvent = "token raised" // our membership has changed, and another node may have owned the machine
	EventTokenAcknowledged TokenEvent = "token shown"  // a newer report shows our token
	EventNewIncarnation    TokenEvent = "new session"
	EventLeaseExpired      TokenEvent = "lease ended"
)

// Next is the one function that changes a worker session's state.
func (s TokenState) Next(e TokenEvent) TokenState {
	switch {
	case e == EventNewIncarnation:
		return TokenUnacknowledged
	case s == LeaseExpired:
		return LeaseExpired // only a new session leaves it
	case e == EventTokenRaised:
		return TokenUnacknowledged
	case e == EventTokenAcknowledged:
		return TokenAcknowledged
	case e == EventLeaseExpired && s == TokenAcknowledged:
		return LeaseExpired
	}
	return s
}

// Attempt is one try of a task.
type Attempt struct {
	ID     jobs.TaskID
	Number uint64
}

// pendingStart is a direct start under a token.
type pendingStart struct {
	Attempt
	token uint64
}

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

// IsStale reports whether a report is a late copy of one that this node has seen,
// or older: the network may deliver such copies minutes late. It guards against
// a dead machine that looks alive and a lease that seems renewed.
func (w *Worker) IsStale(r *wire.Heartbeat) bool {
	return r.Incarnation < w.Incarnation || r.Incarnation == w.Incarnation && r.Sequence <= w.HeartbeatSequence
}

// HeartbeatAnswered notes that a report was answered with 200 and these commands. A
// command that is due again and again is not heard: the machine's reports get
// through to us and our answers not to it.
func (w *Worker) HeartbeatAnswered(r *wire.Heartbeat, commands []wire.Command, now time.Time) {
	w.LastAnswered, w.HeartbeatSequence = now, r.Sequence
	w.nothingToReconcile = false // a start that this report shows the end of may be forgotten
	for a, sequence := range w.answeredStarts {
		if sequence < r.Sequence {
			delete(w.answeredStarts, a) // this report shows what came of it
		}
	}
	for _, a := range StartedAttempts(commands) {
		w.answeredStarts[a] = max(w.answeredStarts[a], r.Sequence)
	}
	unconfirmed := make(map[CommandKey]time.Time, len(commands))
	late := false
	for _, o := range commands {
		c := KeyOf(o)
		at, before := w.unconfirmedCommands[c]
		if !before {
			at = now
		}
		unconfirmed[c] = at
		late = late || now.Sub(at) > tuning.ConfirmAfter
	}
	switch {
	case late:
		w.Unresponsive = true
	case len(unconfirmed) < len(w.unconfirmedCommands):
		w.Unresponsive = false // something was carried out
	}
	w.unconfirmedCommands = unconfirmed
}

// CallAnswered notes that the worker answered a direct call.
func (w *Worker) CallAnswered() {
	w.Unresponsive = false
	clear(w.unconfirmedCommands)
}

// NewWorker returns the view of a machine that has not been heard.
func NewWorker(host string) *Worker {
	return &Worker{Machine: host, State: TokenUnacknowledged, Tasks: map[jobs.TaskID]wire.TaskStatus{}, RunningSince: map[jobs.TaskID]time.Time{}, Stopping: map[jobs.TaskID]bool{},
		pendingStarts: map[pendingStart]int{}, answeredStarts: map[Attempt]uint64{}, FailedJobs: map[string]bool{}, SentCommands: map[CommandKey]time.Time{}}
}

// RaiseToken notes that our membership has changed, and that another node may
// have owned the machine meanwhile.
func (w *Worker) RaiseToken() {
	w.State = w.State.Next(EventTokenRaised)
	w.MarkChanged()
}

// RequestStop notes that a task is wanted off the machine.
func (w *Worker) RequestStop(id jobs.TaskID) {
	w.Stopping[id] = true
	w.MarkChanged()
}

// MarkChanged notes that something has changed that commands or proofs follow from:
// the claims on the machine, their jobs, or what is known of its worker.
func (w *Worker) MarkChanged() { w.NoPendingCommands, w.nothingToReconcile = false, false }

// ApplyHeartbeat enters a report that arrived now, if it is newer than what is known.
// token is the one of our membership; a worker that has shown it or one that
// stands above it for this worker alone (InvalidateStarts) has heard us.
func (w *Worker) ApplyHeartbeat(r *wire.Heartbeat, token uint64, now time.Time) bool {
	if w.FirstHeard.IsZero() {
		w.FirstHeard = now
	}
	if r.Incarnation < w.Incarnation || r.Incarnation == w.Incarnation && r.Sequence <= w.Sequence {
		return false
	}
	if r.Incarnation > w.Incarnation {
		// Guards against taking an old session's proof for the new one's, and
		// against waiting for starts that the worker now refuses.
		w.State = w.State.Next(EventNewIncarnation)
		clear(w.pendingStarts)
		clear(w.answeredStarts)
		clear(w.SentCommands)
		clear(w.Stopping)
		clear(w.unconfirmedCommands)
		w.HeartbeatSequence = 0
	}
	w.Machine, w.Address, w.MachineType, w.Zone, w.Spot = r.Machine, r.Address, r.MachineType, r.Zone, r.Spot
	w.Incarnation, w.Sequence, w.LastHeard = r.Incarnation, r.Sequence, now
	w.MarkChanged()
	w.AcknowledgedToken = max(w.AcknowledgedToken, r.FencingToken)
	w.FencingToken = max(w.FencingToken, token)
	if token > 0 && r.FencingToken >= token {
		if w.State == TokenUnacknowledged {
			w.State = w.State.Next(EventTokenAcknowledged)
			w.AcknowledgedAt = now
		}
	}
	// Starts under lower tokens than the worker has shown are dead from here on,
	// and this message shows what came of them. Those under the same are not:
	// one sent before the proof may still be held somewhere.
	for k := range w.pendingStarts {
		if k.token < r.FencingToken {
			delete(w.pendingStarts, k)
		}
	}
	if r.TerminationNoticeS == nil {
		w.TerminationAt = time.Time{}
	} else {
		w.TerminationAt = now.Add(time.Duration(*r.TerminationNoticeS * float64(time.Second)))
	}
	clear(w.Tasks)
	for _, s := range r.Tasks {
		jobID, n, ok := jobs.ParseTaskName(s.Task)
		if !ok {
			continue
		}
		id := jobs.TaskID{Job: jobID, Task: n}
		// The task may be listed with an older, exited attempt too: the newest
		// attempt counts, and an older one is still to be reaped.
		if old, dup := w.Tasks[id]; dup && old.Attempt > s.Attempt {
			continue
		}
		w.Tasks[id] = s
	}
	w.updateRunningSince(now)
	return true
}

// updateRunningSince notes since when the listed tasks have run.
func (w *Worker) updateRunningSince(now time.Time) {
	for id := range w.RunningSince {
		if w.Tasks[id].State != wire.TaskRunning {
			delete(w.RunningSince, id)
		}
	}
	for id, s := range w.Tasks {
		if _, noted := w.RunningSince[id]; s.State == wire.TaskRunning && !noted {
			w.RunningSince[id] = now
		}
	}
}

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

// StartsSent notes direct starts that are about to be sent.
func (w *Worker) StartsSent(starts []Attempt, token uint64) {
	for _, a := range starts {
		w.pendingStarts[pendingStart{a, token}]++
	}
}

// StartsAnswered notes that a direct call with these starts was answered by a
// report with this session and sequence.
func (w *Worker) StartsAnswered(starts []Attempt, token, session, sequence uint64) {
	w.nothingToReconcile = false
	for _, a := range starts {
		k := pendingStart{a, token}
		if w.pendingStarts[k]--; w.pendingStarts[k] <= 0 {
			delete(w.pendingStarts, k)
		}
		if session == w.Incarnation {
			w.answeredStarts[a] = max(w.answeredStarts[a], sequence)
		}
	}
}

// neverRan reports whether an attempt of the present session that the newest
// message does not list has not begun, and can't any more unless it is started
// anew: the worker has shown our token, so that former owners' starts are dead;
// none of ours is under way; and a report has come since the last that was.
func (w *Worker) neverRan(a Attempt) bool {
	_, sent := w.answeredStarts[a]
	return w.State == TokenAcknowledged && !sent && !w.isStartPending(a)
}

// ClaimsBlockedByStarts lists the claims of cancelled jobs that a start, which may yet arrive,
// keeps from being released.
func (w *Worker) ClaimsBlockedByStarts(claims map[jobs.TaskID]*jobs.Job) []Attempt {
	if len(w.pendingStarts) == 0 {
		return nil
	}
	var out []Attempt
	for id, j := range claims {
		a := Attempt{id, j.Claims[id.Task].Attempt}
		if s, on := w.Tasks[id]; j.Phase == jobs.Cancelled && !(on && s.Attempt == a.Number) && w.isStartPending(a) {
			out = append(out, a)
		}
	}
	return out
}

// FencePendingStarts makes the starts that are under way void, once the worker
// shows the token that it returns or answers a call with it. most bounds the tokens of
// the present membership; false if they are used up. A token that is raised
// already and not shown yet serves.
func (w *Worker) FencePendingStarts(most uint64) bool {
	top := uint64(0)
	for k := range w.pendingStarts {
		top = max(top, k.token)
	}
	if w.FencingToken <= top {
		if w.FencingToken+tuning.FencingStep > most {
			return false
		}
		w.FencingToken, w.NoPendingCommands = w.FencingToken+tuning.FencingStep, false
	}
	return true
}

// isStartPending reports whether a direct start of the attempt may yet arrive.
func (w *Worker) isStartPending(a Attempt) bool {
	for k := range w.pendingStarts {
		if k.Attempt == a {
			return true
		}
	}
	return false
}

// RecordImage remembers that the machine uses an image, and forgets the images
// that it has dropped for want of room: it keeps those used last. gb tells the
// size of an image; room is the machine's disk, 0 if it is not known.
func (w *Worker) RecordImage(image string, gb func(string) float64, room float64) {
	kept := make([]string, 0, len(w.Images)+1)
	for _, im := range w.Images {
		if im != image {
			kept = append(kept, im)
		}
	}
	kept = append(kept, image)
	used, first := 0.0, len(kept)
	for first > 0 && len(kept)-first < tuning.ImagesKept {
		used += gb(kept[first-1])
		if room > 0 && used > room {
			break
		}
		first--
	}
	w.Images = kept[min(first, len(kept)-1):]
}

// LeaseRenewedAt is the latest time at which a proven session's lease may have been
// renewed: its last report that we answered had arrived by then.
func (w *Worker) LeaseRenewedAt() time.Time {
	if w.LastAnswered.After(w.AcknowledgedAt) {
		return w.LastAnswered
	}
	return w.AcknowledgedAt
}

// ExpireLease reports whether the session's lease has surely ended: the worker
// showed our token, so that only our answers renew it, and the last report
// that we answered arrived too long ago. A report is sent before it arrives,
// and the worker counts from the sending.
func (w *Worker) ExpireLease(now time.Time, lease time.Duration) bool {
	if w.State != TokenAcknowledged {
		return w.State == LeaseExpired
	}
	if now.Sub(w.LeaseRenewedAt()) <= time.Duration(float64(lease)*tuning.DriftFactor)+tuning.LeaseMargin {
		return false
	}
	w.State = w.State.Next(EventLeaseExpired)
	return true
}

// ProvenEnd is a claim whose end is proven.
type ProvenEnd struct {
	Task  jobs.TaskID
	Kind  jobs.TaskEventKind
	Cause string
}

// NothingToReconcile reports whether Proofs would return nothing: it did, and since
// then nothing has changed, nor has the session's lease ended.
func (w *Worker) NothingToReconcile(now time.Time, lease time.Duration) bool {
	return w.nothingToReconcile && !w.ExpireLease(now, lease)
}

// Quiescent reports whether nothing is due for the machine until something
// changes or time passes: no command, no proof, no start that may yet arrive.
func (w *Worker) Quiescent() bool {
	return w.NoPendingCommands && w.nothingToReconcile && len(w.Stopping) == 0 && len(w.pendingStarts) == 0
}

// desiredTask is a claim on the machine as package recovery takes it; j is nil if there
// is none.
func desiredTask(j *jobs.Job, t jobs.Task) recovery.DesiredTask {
	if j == nil {
		return recovery.DesiredTask{}
	}
	return recovery.DesiredTask{Claimed: true, Open: j.Phase == jobs.Open, Cancelled: j.Phase == jobs.Cancelled, Attempt: t.Attempt, Incarnation: t.Incarnation}
}

// observedTask is a task of a report as package recovery takes it.
func observedTask(s wire.TaskStatus, on bool) recovery.ObservedTask {
	l := recovery.ObservedTask{Attempt: s.Attempt}
	switch {
	case !on:
		return recovery.ObservedTask{}
	case s.State == wire.TaskExited:
		l.State = recovery.Exited
	case s.State == wire.TaskCheckpointing:
		l.State = recovery.Checkpointing
	default:
		l.State = recovery.Alive
	}
	switch s.ExitCause {
	case wire.ExitCauseDone:
		l.Cause = recovery.ExitDone
	case wire.ExitCauseError, wire.ExitCauseUnknown:
		l.Cause = recovery.ExitFailed
	}
	return l
}

// observedWorker is the worker's session as package recovery takes it.
func (w *Worker) observedWorker() recovery.Worker {
	s := recovery.Worker{Incarnation: w.Incarnation}
	switch w.State {
	case TokenAcknowledged:
		s.State = recovery.TokenAcknowledged
	case LeaseExpired:
		s.State = recovery.LeaseExpired
	}
	return s
}

// ProvenEnds returns the claims on the machine whose attempts have surely ended.
// claims are those stored for this machine.
func (w *Worker) ProvenEnds(claims map[jobs.TaskID]*jobs.Job, now time.Time, lease time.Duration) []ProvenEnd {
	w.ExpireLease(now, lease)
	session := w.observedWorker()
	var out []ProvenEnd
	defer func() { w.nothingToReconcile = len(out) == 0 }()
	for id, j := range claims {
		t := j.Claims[id.Task]
		s, on := w.Tasks[id]
		session.NeverRan = j.Phase == jobs.Cancelled && w.neverRan(Attempt{id, t.Attempt})
		record, reason := recovery.ProvenUpdate(desiredTask(j, t), observedTask(s, on), session)
		if record == recovery.NoUpdate {
			continue
		}
		cause := string(reason)
		if reason == recovery.ReasonExited {
			cause = s.ExitCause
		}
		out = append(out, ProvenEnd{id, endEvents[record], cause})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Task.Less(out[b].Task) })
	return out
}

// endEvents are the events of a claim's task that the proofs lead to.
var endEvents = map[recovery.TaskUpdate]jobs.TaskEventKind{
	recovery.UpdateDone: jobs.Complete, recovery.UpdateFailed: jobs.Fail, recovery.UpdateReleased: jobs.Release,
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

// StartedAttempts lists the attempts that a list of commands starts.
func StartedAttempts(commands []wire.Command) []Attempt {
	var out []Attempt
	for _, o := range commands {
		if o.Verb != wire.VerbStart {
			continue
		}
		if jobID, n, ok := jobs.ParseTaskName(o.Task); ok {
			out = append(out, Attempt{jobs.TaskID{Job: jobID, Task: n}, o.Attempt})
		}
	}
	return out
}

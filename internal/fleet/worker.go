// Package fleet holds machines: the sessions of their workers, their stored
// records, the cloud's client and the leader's capacity plan.
package fleet

import (
	"sort"
	"strconv"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// SessionState is what the owner of a machine knows of its worker's session.
type SessionState string

// States of a worker's session, as its owner sees it.
const (
	// Unproven: no report of the current session has shown our token yet; a
	// former owner's commands may still be under way.
	Unproven SessionState = "unproven"
	// Proven: a report of the current session has shown our token, so that all
	// commands under lower tokens are dead. It stays proven under the tokens
	// after it for as long as each membership gives the machine to this node.
	Proven SessionState = "proven"
	// Expired: the worker's lease has surely ended; everything in the session
	// is gone.
	Expired SessionState = "expired"
)

// SessionEvent changes a session's state.
type SessionEvent string

// Events of a worker's session.
const (
	TokenRaised SessionEvent = "token raised" // our membership has changed, and another node may have owned the machine
	TokenShown  SessionEvent = "token shown"  // a newer report shows our token
	NewSession  SessionEvent = "new session"
	LeaseEnded  SessionEvent = "lease ended"
)

// Next is the one function that changes a worker session's state.
func (s SessionState) Next(e SessionEvent) SessionState {
	switch {
	case e == NewSession:
		return Unproven
	case s == Expired:
		return Expired // only a new session leaves it
	case e == TokenRaised:
		return Unproven
	case e == TokenShown:
		return Proven
	case e == LeaseEnded && s == Proven:
		return Expired
	}
	return s
}

// Attempt is one try of a task.
type Attempt struct {
	ID     jobs.TaskID
	Number uint64
}

// sentStart is a direct start under a token.
type sentStart struct {
	Attempt
	token uint64
}

// Worker is the owner's view of one machine's worker.
type Worker struct {
	Host        string
	Address     string
	MachineType string
	Zone        string
	Spot        bool
	State       SessionState
	Session     uint64
	Sequence    uint64 // of the newest message
	Reported    uint64 // of the newest report; answers to direct calls come between
	ShownToken  uint64 // highest that the worker has shown
	Tasks       map[jobs.TaskID]wire.TaskStatus
	Began       map[jobs.TaskID]time.Time // arrival of the first message that showed the task running
	Heard       time.Time                 // arrival of the last message
	First       time.Time                 // arrival of the first message
	Answered    time.Time                 // arrival of the last report that we answered with 200
	ProvenAt    time.Time                 // arrival of the message that proved the session
	TakenAt     time.Time                 // when the cloud takes the machine; zero: no notice
	Stopping    map[jobs.TaskID]bool      // tasks that we want off this machine

	// Token of our commands to this worker; the membership's, or above it once
	// starts had to be made void (InvalidateStarts).
	Token uint64
	// Direct starts of this session that were sent and not answered, by the
	// token that they carry. They may yet be carried out.
	unanswered map[sentStart]int
	// Starts of this session that are over, by the message that shows what came
	// of them: any report with a larger sequence.
	started map[Attempt]uint64

	// Commands in answers to reports that no report has shown as carried out,
	// by when the first of those answers went.
	unconfirmed map[CommandKey]time.Time

	Images            []string                 // seen here, newest last
	Errors            map[string]bool          // jobs whose tasks failed here since the last success
	Refused           time.Time                // last refusal for want of room
	Sent              map[CommandKey]time.Time // direct starts and kills, by when
	Called            time.Time                // last direct call
	Calling           bool                     // a direct call is under way
	Unresponsive      bool                     // it reports, but nothing that it is told shows
	NoPendingCommands bool                     // nothing has changed since it last had no orders to send
	nothingToProve    bool                     // nothing has changed since no claim's end could be proven
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

// Copy reports whether a report is a late copy of one that this node has seen,
// or older: the network may deliver such copies minutes late. It guards against
// a dead machine that looks alive and a lease that seems renewed.
func (w *Worker) Copy(r *wire.Heartbeat) bool {
	return r.Incarnation < w.Session || r.Incarnation == w.Session && r.Sequence <= w.Reported
}

// Answer notes that a report was answered with 200 and these commands. A
// command that is due again and again is not heard: the machine's reports get
// through to us and our answers not to it.
func (w *Worker) Answer(r *wire.Heartbeat, commands []wire.Command, now time.Time) {
	w.Answered, w.Reported = now, r.Sequence
	w.nothingToProve = false // a start that this report shows the end of may be forgotten
	for a, sequence := range w.started {
		if sequence < r.Sequence {
			delete(w.started, a) // this report shows what came of it
		}
	}
	for _, a := range Starts(commands) {
		w.started[a] = max(w.started[a], r.Sequence)
	}
	unconfirmed := make(map[CommandKey]time.Time, len(commands))
	late := false
	for _, o := range commands {
		c := KeyOf(o)
		at, before := w.unconfirmed[c]
		if !before {
			at = now
		}
		unconfirmed[c] = at
		late = late || now.Sub(at) > tuning.ConfirmAfter
	}
	switch {
	case late:
		w.Unresponsive = true
	case len(unconfirmed) < len(w.unconfirmed):
		w.Unresponsive = false // something was carried out
	}
	w.unconfirmed = unconfirmed
}

// Reached notes that the worker answered a direct call.
func (w *Worker) Reached() {
	w.Unresponsive = false
	clear(w.unconfirmed)
}

// NewWorker returns the view of a machine that has not been heard.
func NewWorker(host string) *Worker {
	return &Worker{Host: host, State: Unproven, Tasks: map[jobs.TaskID]wire.TaskStatus{}, Began: map[jobs.TaskID]time.Time{}, Stopping: map[jobs.TaskID]bool{},
		unanswered: map[sentStart]int{}, started: map[Attempt]uint64{}, Errors: map[string]bool{}, Sent: map[CommandKey]time.Time{}}
}

// RaiseToken notes that our membership has changed, and that another node may
// have owned the machine meanwhile.
func (w *Worker) RaiseToken() {
	w.State = w.State.Next(TokenRaised)
	w.Changed()
}

// Stop notes that a task is wanted off the machine.
func (w *Worker) Stop(id jobs.TaskID) {
	w.Stopping[id] = true
	w.Changed()
}

// Changed notes that something has changed that commands or proofs follow from:
// the claims on the machine, their jobs, or what is known of its worker.
func (w *Worker) Changed() { w.NoPendingCommands, w.nothingToProve = false, false }

// Observe enters a report that arrived now, if it is newer than what is known.
// token is the one of our membership; a worker that has shown it or one that
// stands above it for this worker alone (InvalidateStarts) has heard us.
func (w *Worker) Observe(r *wire.Heartbeat, token uint64, now time.Time) bool {
	if w.First.IsZero() {
		w.First = now
	}
	if r.Incarnation < w.Session || r.Incarnation == w.Session && r.Sequence <= w.Sequence {
		return false
	}
	if r.Incarnation > w.Session {
		// Guards against taking an old session's proof for the new one's, and
		// against waiting for starts that the worker now refuses.
		w.State = w.State.Next(NewSession)
		clear(w.unanswered)
		clear(w.started)
		clear(w.Sent)
		clear(w.Stopping)
		clear(w.unconfirmed)
		w.Reported = 0
	}
	w.Host, w.Address, w.MachineType, w.Zone, w.Spot = r.Machine, r.Address, r.MachineType, r.Zone, r.Spot
	w.Session, w.Sequence, w.Heard = r.Incarnation, r.Sequence, now
	w.Changed()
	w.ShownToken = max(w.ShownToken, r.FencingToken)
	w.Token = max(w.Token, token)
	if token > 0 && r.FencingToken >= token {
		if w.State == Unproven {
			w.State = w.State.Next(TokenShown)
			w.ProvenAt = now
		}
	}
	// Starts under lower tokens than the worker has shown are dead from here on,
	// and this message shows what came of them. Those under the same are not:
	// one sent before the proof may still be held somewhere.
	for k := range w.unanswered {
		if k.token < r.FencingToken {
			delete(w.unanswered, k)
		}
	}
	if r.TerminationNoticeS == nil {
		w.TakenAt = time.Time{}
	} else {
		w.TakenAt = now.Add(time.Duration(*r.TerminationNoticeS * float64(time.Second)))
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
	w.noteBegun(now)
	return true
}

// noteBegun notes since when the listed tasks have run.
func (w *Worker) noteBegun(now time.Time) {
	for id := range w.Began {
		if w.Tasks[id].State != wire.TaskRunning {
			delete(w.Began, id)
		}
	}
	for id, s := range w.Tasks {
		if _, noted := w.Began[id]; s.State == wire.TaskRunning && !noted {
			w.Began[id] = now
		}
	}
}

// KeepStopping forgets the wish to stop tasks whose claim is released. Until
// then it stands, also for an exited task: its room is about to be free, and
// stopping others for the same room would be in vain.
// It reports whether it forgot any.
func (w *Worker) KeepStopping(claims map[jobs.TaskID]*jobs.Job) bool {
	before := len(w.Stopping)
	for id := range w.Stopping {
		if claims[id] == nil {
			delete(w.Stopping, id)
		}
	}
	return len(w.Stopping) < before
}

// Leaves reports whether a claimed task is on its way off the machine.
func (w *Worker) Leaves(id jobs.TaskID) bool {
	s, on := w.Tasks[id]
	return w.Stopping[id] || on && s.State == wire.TaskExited
}

// StartSent notes direct starts that are about to be sent.
func (w *Worker) StartSent(starts []Attempt, token uint64) {
	for _, a := range starts {
		w.unanswered[sentStart{a, token}]++
	}
}

// StartAnswered notes that a direct call with these starts was answered by a
// report with this session and sequence.
func (w *Worker) StartAnswered(starts []Attempt, token, session, sequence uint64) {
	w.nothingToProve = false
	for _, a := range starts {
		k := sentStart{a, token}
		if w.unanswered[k]--; w.unanswered[k] <= 0 {
			delete(w.unanswered, k)
		}
		if session == w.Session {
			w.started[a] = max(w.started[a], sequence)
		}
	}
}

// neverRan reports whether an attempt of the present session that the newest
// message does not list has not begun, and can't any more unless it is started
// anew: the worker has shown our token, so that former owners' starts are dead;
// none of ours is under way; and a report has come since the last that was.
func (w *Worker) neverRan(a Attempt) bool {
	_, sent := w.started[a]
	return w.State == Proven && !sent && !w.mayStart(a)
}

// Held lists the claims of cancelled jobs that a start, which may yet arrive,
// keeps from being released.
func (w *Worker) Held(claims map[jobs.TaskID]*jobs.Job) []Attempt {
	if len(w.unanswered) == 0 {
		return nil
	}
	var out []Attempt
	for id, j := range claims {
		a := Attempt{id, j.Live[id.Task].Attempt}
		if s, on := w.Tasks[id]; j.Phase == jobs.Cancelled && !(on && s.Attempt == a.Number) && w.mayStart(a) {
			out = append(out, a)
		}
	}
	return out
}

// InvalidateStarts makes the starts that are under way void, once the worker
// shows the token that it returns or answers a call with it. most bounds the tokens of
// the present membership; false if they are used up. A token that is raised
// already and not shown yet serves.
func (w *Worker) InvalidateStarts(most uint64) bool {
	top := uint64(0)
	for k := range w.unanswered {
		top = max(top, k.token)
	}
	if w.Token <= top {
		if w.Token+tuning.InvalidateStep > most {
			return false
		}
		w.Token, w.NoPendingCommands = w.Token+tuning.InvalidateStep, false
	}
	return true
}

// mayStart reports whether a direct start of the attempt may yet arrive.
func (w *Worker) mayStart(a Attempt) bool {
	for k := range w.unanswered {
		if k.Attempt == a {
			return true
		}
	}
	return false
}

// NoteImage remembers that the machine uses an image, and forgets the images
// that it has dropped for want of room: it keeps those used last. gb tells the
// size of an image; room is the machine's disk, 0 if it is not known.
func (w *Worker) NoteImage(image string, gb func(string) float64, room float64) {
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

// Renewed is the latest time at which a proven session's lease may have been
// renewed: its last report that we answered had arrived by then.
func (w *Worker) Renewed() time.Time {
	if w.Answered.After(w.ProvenAt) {
		return w.Answered
	}
	return w.ProvenAt
}

// LeaseOver reports whether the session's lease has surely ended: the worker
// showed our token, so that only our answers renew it, and the last report
// that we answered arrived too long ago. A report is sent before it arrives,
// and the worker counts from the sending.
func (w *Worker) LeaseOver(now time.Time, lease time.Duration) bool {
	if w.State != Proven {
		return w.State == Expired
	}
	if now.Sub(w.Renewed()) <= time.Duration(float64(lease)*tuning.DriftFactor)+tuning.LeaseMargin {
		return false
	}
	w.State = w.State.Next(LeaseEnded)
	return true
}

// Release is a claim whose end is proven.
type Release struct {
	ID    jobs.TaskID
	Kind  jobs.TaskEventKind
	Cause string
}

// NothingToProve reports whether Proofs would return nothing: it did, and since
// then nothing has changed, nor has the session's lease ended.
func (w *Worker) NothingToProve(now time.Time, lease time.Duration) bool {
	return w.nothingToProve && !w.LeaseOver(now, lease)
}

// Settled reports whether nothing is due for the machine until something
// changes or time passes: no command, no proof, no start that may yet arrive.
func (w *Worker) Settled() bool {
	return w.NoPendingCommands && w.nothingToProve && len(w.Stopping) == 0 && len(w.unanswered) == 0
}

// claimOf is a claim on the machine as package recovery takes it; j is nil if there
// is none.
func claimOf(j *jobs.Job, t jobs.Task) recovery.Claim {
	if j == nil {
		return recovery.Claim{}
	}
	return recovery.Claim{Stored: true, Open: j.Phase == jobs.Open, Cancelled: j.Phase == jobs.Cancelled, Attempt: t.Attempt, Session: t.Session}
}

// listedOf is a task of a report as package recovery takes it.
func listedOf(s wire.TaskStatus, on bool) recovery.Listed {
	l := recovery.Listed{Attempt: s.Attempt}
	switch {
	case !on:
		return recovery.Listed{}
	case s.State == wire.TaskExited:
		l.State = recovery.Exited
	case s.State == wire.TaskCheckpointing:
		l.State = recovery.Saving
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

// session is the worker's session as package recovery takes it.
func (w *Worker) session() recovery.Session {
	s := recovery.Session{Number: w.Session}
	switch w.State {
	case Proven:
		s.State = recovery.Proven
	case Expired:
		s.State = recovery.Ended
	}
	return s
}

// Proofs returns the claims on the machine whose attempts have surely ended.
// claims are those stored for this machine.
func (w *Worker) Proofs(claims map[jobs.TaskID]*jobs.Job, now time.Time, lease time.Duration) []Release {
	w.LeaseOver(now, lease)
	session := w.session()
	var out []Release
	defer func() { w.nothingToProve = len(out) == 0 }()
	for id, j := range claims {
		t := j.Live[id.Task]
		s, on := w.Tasks[id]
		session.NeverRan = j.Phase == jobs.Cancelled && w.neverRan(Attempt{id, t.Attempt})
		record, reason := recovery.Proof(claimOf(j, t), listedOf(s, on), session)
		if record == recovery.NoRecord {
			continue
		}
		cause := string(reason)
		if reason == recovery.ReasonExited {
			cause = s.ExitCause
		}
		out = append(out, Release{id, releaseKinds[record], cause})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID.Less(out[b].ID) })
	return out
}

// releaseKinds are the events of a claim's task that the proofs lead to.
var releaseKinds = map[recovery.Record]jobs.TaskEventKind{
	recovery.RecordDone: jobs.Complete, recovery.RecordFailed: jobs.Fail, recovery.RecordFree: jobs.Release,
}

// Channel is a way to tell a worker something.
type Channel int

// Channels to a worker.
const (
	InAnswer Channel = iota // the answer to a report
	Direct                  // a call of ours
)

// CommandOptions say how commands are about to go, and which starts may.
type CommandOptions struct {
	Channel  Channel
	MayStart bool // the state service can be read
	Now      time.Time
	// AwaitCall keeps a start out of an answer while a direct call that holds it
	// has just been sent.
	AwaitCall bool
	// Resend is how long a start that went directly is not sent so again.
	Resend time.Duration
	// Repeat is how long a start that went in an answer to a report is not sent
	// again directly: until the next report shows what came of it.
	Repeat time.Duration
	// Admit takes a start that is due from the rate of starts; false if it has to
	// wait. nil: there is no bound.
	Admit func(j *jobs.Job) bool
}

// Commands returns the commands that the stored claims call for. postponed says
// that there are starts which have to wait, or are under way. Reaps in it may
// travel in report responses only: a start in the response to an earlier report
// is then surely over, while a direct reap could overtake it.
func (w *Worker) Commands(claims map[jobs.TaskID]*jobs.Job, o CommandOptions) (out []wire.Command, postponed bool) {
	if w.State == Expired {
		return nil, false
	}
	session := w.session()
	session.MayStart = o.MayStart
	zero := 0.0
	for _, id := range w.taskIDs(claims) {
		if len(out) >= tuning.TasksPerMachine {
			break // the next answer holds the rest
		}
		j := claims[id]
		var t jobs.Task
		if j != nil {
			t = j.Live[id.Task]
		}
		s, on := w.Tasks[id]
		session.StartHeld = on && w.mayStart(Attempt{id, s.Attempt})
		session.Stopping = w.Stopping[id]
		d := recovery.Orders(claimOf(j, t), listedOf(s, on), session)
		switch d.Stop {
		case recovery.Kill:
			out = append(out, wire.Command{Verb: wire.VerbKill, Task: s.Task, Attempt: s.Attempt, GracePeriodS: &zero})
		case recovery.KillSaving:
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
		if w.startUnderWay(Attempt{id, t.Attempt}, o) || o.Admit != nil && !o.Admit(j) {
			postponed = true
			continue
		}
		out = append(out, wire.Command{Verb: wire.VerbStart, Task: id.String(), Attempt: t.Attempt})
	}
	return out, postponed
}

// startUnderWay reports whether a start of the attempt has gone to the worker,
// and what came of it will show by itself: a direct call that has not ended, or
// the answer to a report that no later one has followed. Guards against telling
// workers twice what they are about to do: after an outage of all nodes, a fifth
// of the starts were.
func (w *Worker) startUnderWay(a Attempt, o CommandOptions) bool {
	if o.Channel == InAnswer {
		// The report is newer than any answer before it. A call that takes long
		// may never arrive, while answers do.
		return o.AwaitCall && w.Calling && w.mayStart(a) && o.Now.Sub(w.Called) < tuning.StartCallGrace
	}
	start := CommandKey{wire.VerbStart, commandTask(a.ID.String(), a.Number)}
	if sent, ok := w.Sent[start]; ok && o.Now.Sub(sent) <= o.Resend {
		return true
	}
	_, answered := w.started[a]
	return answered && o.Now.Sub(w.Answered) < o.Repeat
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

// Starts lists the attempts that a list of commands starts.
func Starts(commands []wire.Command) []Attempt {
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

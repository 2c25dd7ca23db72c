// Package fleet holds machines: the sessions of their workers, their stored
// records, the cloud's client and the leader's capacity plan.
package fleet

import (
	"sort"
	"strconv"
	"time"

	"wheatspur/internal/jobs"
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
	Tasks       map[jobs.TaskID]wire.TaskReport
	Heard       time.Time            // arrival of the last message
	First       time.Time            // arrival of the first message
	Answered    time.Time            // arrival of the last report that we answered with 200
	ProvenAt    time.Time            // arrival of the message that proved the session
	TakenAt     time.Time            // when the cloud takes the machine; zero: no notice
	Stopping    map[jobs.TaskID]bool // tasks that we want off this machine

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
	return CommandKey{o.Verb, o.Task + "#" + strconv.FormatUint(o.Attempt, 10)}
}

// Copy reports whether a report is a late copy of one that this node has seen,
// or older: the network may deliver such copies minutes late. It guards against
// a dead machine that looks alive and a lease that seems renewed.
func (w *Worker) Copy(r *wire.Report) bool {
	return r.Session < w.Session || r.Session == w.Session && r.Sequence <= w.Reported
}

// Answer notes that a report was answered with 200 and these commands. A
// command that is due again and again is not heard: the machine's reports get
// through to us and our answers not to it.
func (w *Worker) Answer(r *wire.Report, commands []wire.Command, now time.Time) {
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
	return &Worker{Host: host, State: Unproven, Tasks: map[jobs.TaskID]wire.TaskReport{}, Stopping: map[jobs.TaskID]bool{},
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
func (w *Worker) Observe(r *wire.Report, token uint64, now time.Time) bool {
	if w.First.IsZero() {
		w.First = now
	}
	if r.Session < w.Session || r.Session == w.Session && r.Sequence <= w.Sequence {
		return false
	}
	if r.Session > w.Session {
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
	w.Host, w.Address, w.MachineType, w.Zone, w.Spot = r.Host, r.Address, r.MachineType, r.Zone, r.Spot
	w.Session, w.Sequence, w.Heard = r.Session, r.Sequence, now
	w.Changed()
	w.ShownToken = max(w.ShownToken, r.Token)
	w.Token = max(w.Token, token)
	if token > 0 && r.Token >= token {
		if w.State == Unproven {
			w.State = w.State.Next(TokenShown)
			w.ProvenAt = now
		}
	}
	// Starts under lower tokens than the worker has shown are dead from here on,
	// and this message shows what came of them. Those under the same are not:
	// one sent before the proof may still be held somewhere.
	for k := range w.unanswered {
		if k.token < r.Token {
			delete(w.unanswered, k)
		}
	}
	if r.NoticeS == nil {
		w.TakenAt = time.Time{}
	} else {
		w.TakenAt = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
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
	return true
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

// Proofs returns the claims on the machine whose attempts have surely ended.
// claims are those stored for this machine.
func (w *Worker) Proofs(claims map[jobs.TaskID]*jobs.Job, now time.Time, lease time.Duration) []Release {
	over := w.LeaseOver(now, lease)
	var out []Release
	defer func() { w.nothingToProve = len(out) == 0 }()
	for id, j := range claims {
		t := j.Live[id.Task]
		switch s, on := w.Tasks[id]; {
		case over && t.Session <= w.Session:
			out = append(out, Release{id, jobs.Release, "lease ended"})
		case w.State != Proven:
			// A former owner's commands may still be under way.
		case t.Session < w.Session:
			out = append(out, Release{id, jobs.Release, "new session"})
		case on && s.Attempt == t.Attempt && s.State == wire.TaskExited:
			kind := jobs.Release
			switch s.ExitCause {
			case wire.ExitCauseDone:
				kind = jobs.Complete
			case wire.ExitCauseError, wire.ExitCauseUnknown:
				kind = jobs.Fail
			}
			out = append(out, Release{id, kind, s.ExitCause})
		case j.Phase == jobs.Cancelled && (!on || s.Attempt < t.Attempt) && w.neverRan(Attempt{id, t.Attempt}):
			// Nobody starts a cancelled job's task any more. Guards against a
			// claim that counted against its team, and filled its machine, for
			// as long as the machine's session lasted.
			out = append(out, Release{id, jobs.Release, "never started"})
		}
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].ID.Job != out[b].ID.Job {
			return out[a].ID.Job < out[b].ID.Job
		}
		return out[a].ID.Task < out[b].ID.Task
	})
	return out
}

// Commands returns the commands that the stored claims call for. mayStart is
// false while the state service can't be read. Reaps in it may travel in
// report responses only: a start in the response to an earlier report is then
// surely over, while a direct reap could overtake it.
func (w *Worker) Commands(claims map[jobs.TaskID]*jobs.Job, mayStart bool) []wire.Command {
	if w.State == Expired {
		return nil
	}
	var out []wire.Command
	ids := make([]jobs.TaskID, 0, len(claims)+len(w.Tasks))
	for id := range claims {
		if _, on := w.Tasks[id]; !on {
			ids = append(ids, id)
		}
	}
	for id := range w.Tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		if ids[a].Job != ids[b].Job {
			return ids[a].Job < ids[b].Job
		}
		return ids[a].Task < ids[b].Task
	})
	zero := 0.0
	for _, id := range ids {
		if len(out) >= tuning.TasksPerMachine {
			break // the next answer holds the rest
		}
		j := claims[id]
		var t jobs.Task
		if j != nil {
			t = j.Live[id.Task]
		}
		s, on := w.Tasks[id]
		wanted := j != nil && t.Session == w.Session && j.Phase == jobs.Open
		switch {
		case wanted && (!on || s.Attempt < t.Attempt):
			if on && s.State != wire.TaskExited {
				out = append(out, wire.Command{Verb: wire.VerbKill, Task: s.Task, Attempt: s.Attempt, GracePeriodS: &zero})
			} else if on && !w.mayStart(Attempt{id, s.Attempt}) && w.State == Proven {
				out = append(out, wire.Command{Verb: wire.VerbReap, Task: s.Task, Attempt: s.Attempt})
			}
			if mayStart {
				out = append(out, wire.Command{Verb: wire.VerbStart, Task: id.String(), Attempt: t.Attempt})
			}
		case !on:
		case s.State == wire.TaskExited:
			// Reap only once the release is stored: no claim names the attempt.
			if (j == nil || t.Attempt != s.Attempt) && w.State == Proven && !w.mayStart(Attempt{id, s.Attempt}) {
				out = append(out, wire.Command{Verb: wire.VerbReap, Task: s.Task, Attempt: s.Attempt})
			}
		case wanted && s.Attempt == t.Attempt:
			if w.Stopping[id] && s.State != wire.TaskFlushing {
				leeway := 0.0
				if w := j.Record.Spec; w != nil {
					leeway = w.SaveS
				}
				out = append(out, wire.Command{Verb: wire.VerbKill, Task: s.Task, Attempt: s.Attempt, GracePeriodS: &leeway})
			}
		default:
			// No stored claim covers it, or its job is over.
			out = append(out, wire.Command{Verb: wire.VerbKill, Task: s.Task, Attempt: s.Attempt, GracePeriodS: &zero})
		}
	}
	return out
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

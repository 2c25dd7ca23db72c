package worker

import (
	"strings"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

const lease = 40 * time.Second

var t0 = time.Unix(1000, 0)

// claimed returns a table with one job, its task 0 claimed on host h.
func claimed(t *testing.T, session, attempt uint64, phase jobs.Phase) map[jobs.TaskID]*jobs.Job {
	t.Helper()
	tab := jobs.NewTable(func() time.Time { return t0 })
	w := wire.JobSpec{ID: "wk-1", Team: "x", Kind: wire.KindArray, Tasks: 1, CPUs: 1}
	if err := tab.ApplyJob("wk-1", wire.MustMarshal(jobs.Record{Phase: phase, Tasks: 1, ChunkSize: 8, Spec: &w})); err != nil {
		t.Fatal(err)
	}
	chunk := jobs.ChunkRecord{Tasks: []jobs.Task{{State: jobs.Claimed, Attempt: attempt, Machine: "h", Incarnation: session}}}
	if err := tab.ApplyChunk(jobs.ChunkKey("wk-1", 0), wire.MustMarshal(chunk)); err != nil {
		t.Fatal(err)
	}
	return tab.ClaimsByMachine["h"]
}

func report(session, sequence, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "h", Address: "x:1", Incarnation: session, Sequence: sequence, FencingToken: token, Tasks: tasks}
}

func verbs(commands []wire.Command) string {
	s := ""
	for _, o := range commands {
		s += o.Verb + " "
	}
	return s
}

func TestNothingIsReleasedBeforeTheWorkerShowsOurBaton(t *testing.T) {
	claims := claimed(t, 1, 1, jobs.Open)
	w := NewWorker("h")
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}
	w.ApplyHeartbeat(report(1, 1, 4, exited), 5, t0)
	if p := w.ProvenEnds(claims, t0, lease); len(p) != 0 {
		t.Fatalf("released at an old token: %v", p)
	}
	if o := answerTo(w, nil, true); len(o) != 0 {
		t.Fatalf("reaped at an old token: %v", o)
	}
	w.ApplyHeartbeat(report(1, 2, 5, exited), 5, t0)
	p := w.ProvenEnds(claims, t0, lease)
	if len(p) != 1 || p[0].Kind != jobs.Complete {
		t.Fatalf("not released at our token: %v", p)
	}
}

func TestAbsenceProvesNothingAndANewStintDoes(t *testing.T) {
	claims := claimed(t, 1, 1, jobs.Open)
	w := NewWorker("h")
	w.ApplyHeartbeat(report(1, 1, 5), 5, t0)
	if p := w.ProvenEnds(claims, t0.Add(time.Hour/100), lease); len(p) != 0 {
		t.Fatalf("absence released a task: %v", p)
	}
	w.ApplyHeartbeat(report(2, 2, 5), 5, t0)
	if p := w.ProvenEnds(claims, t0, lease); len(p) != 1 || p[0].Kind != jobs.Release {
		t.Fatalf("a new session at our token released %v", p)
	}
}

func TestALeaseEndsOnlyAfterOurLastAnswer(t *testing.T) {
	claims := claimed(t, 1, 1, jobs.Open)
	w := NewWorker("h")
	w.ApplyHeartbeat(report(1, 1, 4), 5, t0)
	if w.ExpireLease(t0.Add(time.Hour), lease) {
		t.Fatal("a lease that an old owner may renew was taken to have ended")
	}
	w.ApplyHeartbeat(report(1, 2, 5), 5, t0.Add(time.Second))
	w.LastAnswered = t0.Add(10 * time.Second)
	if w.ExpireLease(w.LastAnswered.Add(lease), lease) {
		t.Fatal("the lease ended without a margin for drift")
	}
	at := w.LastAnswered.Add(lease + lease/100 + tuning.LeaseMargin)
	if p := w.ProvenEnds(claims, at, lease); len(p) != 1 || w.State != LeaseExpired {
		t.Fatalf("an ended lease released %v in state %s", p, w.State)
	}
	if o := answerTo(w, claims, true); len(o) != 0 {
		t.Fatalf("an ended session got orders: %v", o)
	}
	// A late report of the ended session must not revive it.
	w.ApplyHeartbeat(report(1, 3, 5), 5, at)
	if w.State != LeaseExpired {
		t.Fatalf("a late report made the session %s", w.State)
	}
	w.ApplyHeartbeat(report(2, 4, 5), 5, at)
	if w.State != TokenAcknowledged {
		t.Fatalf("a new session at our token is %s", w.State)
	}
}

func TestReapWaitsForTheStoredReleaseAndUnansweredStarts(t *testing.T) {
	claims := claimed(t, 1, 1, jobs.Open)
	w := NewWorker("h")
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseError}
	w.ApplyHeartbeat(report(1, 1, 5, exited), 5, t0)
	if o := verbs(answerTo(w, claims, true)); o != "" {
		t.Fatalf("with the claim stored: %s", o)
	}
	a := Attempt{jobs.TaskID{Job: "wk-1", Task: 0}, 1}
	w.StartsSent([]Attempt{a}, 5)
	if o := verbs(answerTo(w, nil, true)); o != "" {
		t.Fatalf("reaped while a start may still arrive: %s", o)
	}
	// A higher token shown by the worker kills the late start.
	w.RaiseToken()
	w.ApplyHeartbeat(report(1, 2, 6, exited), 6, t0)
	if o := verbs(answerTo(w, nil, true)); o != "reap " {
		t.Fatalf("after the release: %q", o)
	}
}

// A start sent under our token before the worker has shown it may be held and
// arrive later: the proof must not make it forgotten.
func TestAStartUnderOurBatonOutlivesTheProof(t *testing.T) {
	w := NewWorker("h")
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseStopped}
	a := []Attempt{{jobs.TaskID{Job: "wk-1", Task: 0}, 1}}
	w.ApplyHeartbeat(report(1, 1, 5, exited), 6, t0)
	w.StartsSent(a, 6)
	w.ApplyHeartbeat(report(1, 2, 6, exited), 6, t0)
	if o := verbs(answerTo(w, nil, true)); w.State != TokenAcknowledged || o != "" {
		t.Fatalf("state %s, orders %q", w.State, o)
	}
	w.StartsAnswered(a, 6, 1, 2)
	if o := verbs(answerTo(w, nil, true)); o != "reap " {
		t.Fatalf("after the answer: %q", o)
	}
}

func TestOrdersFollowTheStoredClaims(t *testing.T) {
	run := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}
	for _, c := range []struct {
		name   string
		claims map[jobs.TaskID]*jobs.Job
		shards []wire.TaskStatus
		start  bool
		want   string
	}{
		{"a stored claim is started", claimed(t, 1, 1, jobs.Open), nil, true, "start "},
		{"nothing starts without the state service", claimed(t, 1, 1, jobs.Open), nil, false, ""},
		{"a claim of another session is not started", claimed(t, 2, 1, jobs.Open), nil, true, ""},
		{"a cancelled job is not started", claimed(t, 1, 1, jobs.Cancelled), nil, true, ""},
		{"a cancelled job is killed", claimed(t, 1, 1, jobs.Cancelled), []wire.TaskStatus{run}, true, "kill "},
		{"a running claim is left alone", claimed(t, 1, 1, jobs.Open), []wire.TaskStatus{run}, true, ""},
		{"what no claim covers is killed", nil, []wire.TaskStatus{run}, true, "kill "},
		{"an older attempt is killed first", claimed(t, 1, 2, jobs.Open), []wire.TaskStatus{run}, true, "kill start "},
	} {
		w := NewWorker("h")
		w.ApplyHeartbeat(report(1, 1, 5, c.shards...), 5, t0)
		if got := verbs(answerTo(w, c.claims, c.start)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Stopped tasks that had exited no longer counted as leaving, so that others
// were stopped for the same room again and again.
func TestAnExitedTaskLeavesUntilItsReleaseIsStored(t *testing.T) {
	claims := claimed(t, 1, 1, jobs.Open)
	id := jobs.TaskID{Job: "wk-1", Task: 0}
	w := NewWorker("h")
	w.Stopping[id] = true
	w.ApplyHeartbeat(report(1, 1, 5, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseStopped}), 5, t0)
	w.PruneStopping(claims)
	if !w.IsLeaving(id) {
		t.Fatal("the task no longer leaves")
	}
	w.PruneStopping(nil)
	if w.Stopping[id] {
		t.Fatal("the wish outlived the claim")
	}
}

func TestOldReportsChangeNothing(t *testing.T) {
	w := NewWorker("h")
	w.ApplyHeartbeat(report(2, 9, 5, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}), 5, t0)
	if w.ApplyHeartbeat(report(2, 8, 5), 5, t0) || w.ApplyHeartbeat(report(1, 99, 5), 5, t0) || len(w.Tasks) != 1 {
		t.Fatal("an older report was taken")
	}
}

// A late copy of a report once counted as an answered report: the lease of a
// machine that was gone seemed renewed for as long as copies came.
func TestALateCopyIsNoNewReport(t *testing.T) {
	w := NewWorker("h1")
	first := &wire.Heartbeat{Machine: "h1", Incarnation: 2, Sequence: 5, FencingToken: 7}
	if w.IsStale(first) {
		t.Fatal("the first report is no copy")
	}
	w.ApplyHeartbeat(first, 7, t0)
	w.HeartbeatAnswered(first, nil, t0)
	for _, c := range []struct {
		session, sequence uint64
		want              bool
	}{{2, 5, true}, {2, 4, true}, {1, 99, true}, {2, 6, false}, {3, 1, false}} {
		if got := w.IsStale(&wire.Heartbeat{Machine: "h1", Incarnation: c.session, Sequence: c.sequence}); got != c.want {
			t.Errorf("session %d sequence %d: copy %v", c.session, c.sequence, got)
		}
	}
	// The answer to a direct call overtook a report that is still under way:
	// that report is answered, and its answer renews the lease.
	w.ApplyHeartbeat(&wire.Heartbeat{Machine: "h1", Incarnation: 2, Sequence: 9, FencingToken: 7}, 7, t0)
	if w.IsStale(&wire.Heartbeat{Machine: "h1", Incarnation: 2, Sequence: 8}) {
		t.Fatal("an overtaken report is taken for a copy")
	}
}

func TestAMachineThatDoesNothingItIsToldIsUnresponsive(t *testing.T) {
	w := NewWorker("h1")
	sequence, now := uint64(0), t0
	report := func(commands ...wire.Command) {
		sequence++
		r := &wire.Heartbeat{Machine: "h1", Incarnation: 1, Sequence: sequence, FencingToken: 7}
		w.ApplyHeartbeat(r, 7, now)
		w.HeartbeatAnswered(r, commands, now)
	}
	start := wire.Command{Verb: wire.VerbStart, Task: "wk-1/0", Attempt: 1}
	report(start)
	now = now.Add(tuning.ConfirmAfter / 2)
	report(start) // the first answer may still be under way
	if w.Unresponsive {
		t.Fatal("unresponsive before an answer could show")
	}
	now = now.Add(tuning.ConfirmAfter)
	report(start)
	if !w.Unresponsive {
		t.Fatal("a start that never shows is not noticed")
	}
	report() // it shows now: nothing is left to order
	if w.Unresponsive {
		t.Fatal("unresponsive though the start was carried out")
	}
	report(start)
	now = now.Add(2 * tuning.ConfirmAfter)
	report(start)
	if w.CallAnswered(); w.Unresponsive {
		t.Fatal("unresponsive though it answered a direct call")
	}
	report(start)
	now = now.Add(2 * tuning.ConfirmAfter)
	w.ApplyHeartbeat(&wire.Heartbeat{Machine: "h1", Incarnation: 2, Sequence: sequence + 1, FencingToken: 7}, 7, now)
	r := &wire.Heartbeat{Machine: "h1", Incarnation: 2, Sequence: sequence + 2, FencingToken: 7}
	w.ApplyHeartbeat(r, 7, now)
	if w.HeartbeatAnswered(r, []wire.Command{start}, now); w.Unresponsive {
		t.Fatal("orders of an earlier session count against the new one")
	}
}

// What is forgotten is fetched beside a machine that holds it; what is
// remembered too long is waited for.
func TestImagesAreRememberedAsTheDiskHoldsThem(t *testing.T) {
	size := map[string]float64{"a": 30, "b": 30, "c": 30, "big": 90}
	gb := func(im string) float64 { return size[im] }
	w := NewWorker("h")
	for _, im := range []string{"a", "b", "c", "a"} {
		w.RecordImage(im, gb, 100)
	}
	if got := strings.Join(w.Images, " "); got != "b c a" {
		t.Fatalf("holds %q", got)
	}
	if w.RecordImage("big", gb, 100); strings.Join(w.Images, " ") != "big" {
		t.Fatalf("holds %q beside an image that leaves no room", w.Images)
	}
	if w.RecordImage("a", gb, 0); strings.Join(w.Images, " ") != "big a" {
		t.Fatalf("holds %q though the disk is not known", w.Images)
	}
}

// A cancelled job's claim whose start has not come to the worker, and can't any
// more, counted against its team and filled its machine for as long as the
// machine's session lasted.
func TestACancelledClaimIsReleasedOnceNoStartCanCome(t *testing.T) {
	a := Attempt{jobs.TaskID{Job: "wk-1", Task: 0}, 2}
	start := []wire.Command{{Verb: wire.VerbStart, Task: "wk-1/0", Attempt: 2}}
	older := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseStopped}
	for _, c := range []struct {
		name  string
		phase jobs.Phase
		do    func(w *Worker)
		want  bool
	}{
		{"nothing was sent", jobs.Cancelled, func(*Worker) {}, true},
		{"an older attempt is still listed", jobs.Cancelled, func(w *Worker) { w.ApplyHeartbeat(report(1, 4, 5, older), 5, t0) }, true},
		{"the job may run yet", jobs.Open, func(*Worker) {}, false},
		{"our token is not shown", jobs.Cancelled, func(w *Worker) { w.RaiseToken() }, false},
		{"the last answer held the start", jobs.Cancelled, func(w *Worker) {
			w.HeartbeatAnswered(report(1, 3, 5), start, t0)
		}, false},
		{"a direct call was answered meanwhile", jobs.Cancelled, func(w *Worker) {
			w.HeartbeatAnswered(report(1, 3, 5), start, t0)
			w.ApplyHeartbeat(report(1, 5, 5), 5, t0) // before the answer to the report came
			w.CallAnswered()
		}, false},
		{"a report came after the answer that held it", jobs.Cancelled, func(w *Worker) {
			w.HeartbeatAnswered(report(1, 3, 5), start, t0)
			w.ApplyHeartbeat(report(1, 4, 5), 5, t0)
			w.HeartbeatAnswered(report(1, 4, 5), nil, t0)
		}, true},
		{"a direct start is not answered", jobs.Cancelled, func(w *Worker) {
			w.StartsSent([]Attempt{a}, 5)
			w.ApplyHeartbeat(report(1, 9, 5), 5, t0)
			w.HeartbeatAnswered(report(1, 9, 5), nil, t0)
		}, false},
		{"it is answered, and the answer not observed", jobs.Cancelled, func(w *Worker) {
			w.StartsSent([]Attempt{a}, 5)
			w.StartsAnswered([]Attempt{a}, 5, 1, 9)
		}, false},
		{"it is answered, and a report that was sent before comes", jobs.Cancelled, func(w *Worker) {
			w.StartsSent([]Attempt{a}, 5)
			w.StartsAnswered([]Attempt{a}, 5, 1, 9)
			w.ApplyHeartbeat(report(1, 8, 5), 5, t0)
			w.HeartbeatAnswered(report(1, 8, 5), nil, t0)
		}, false},
		{"it is made void, and the token not shown", jobs.Cancelled, func(w *Worker) {
			w.StartsSent([]Attempt{a}, 5)
			w.FencePendingStarts(5 + tuning.TokenSpan)
			w.ApplyHeartbeat(report(1, 9, 5), 5, t0)
			w.HeartbeatAnswered(report(1, 9, 5), nil, t0)
		}, false},
		{"it is made void, and the token shown", jobs.Cancelled, func(w *Worker) {
			w.StartsSent([]Attempt{a}, 5)
			w.FencePendingStarts(5 + tuning.TokenSpan)
			w.ApplyHeartbeat(report(1, 9, 5+tuning.FencingStep), 5, t0)
			w.HeartbeatAnswered(report(1, 9, 5+tuning.FencingStep), nil, t0)
		}, true},
		{"it was sent under the raised token", jobs.Cancelled, func(w *Worker) {
			w.StartsSent([]Attempt{a}, 5)
			w.FencePendingStarts(5 + tuning.TokenSpan)
			w.StartsSent([]Attempt{a}, w.FencingToken)
			w.ApplyHeartbeat(report(1, 9, w.FencingToken), 5, t0)
			w.HeartbeatAnswered(report(1, 9, w.FencingToken), nil, t0)
		}, false},
	} {
		claims := claimed(t, 1, 2, c.phase)
		w := NewWorker("h")
		w.ApplyHeartbeat(report(1, 3, 5), 5, t0)
		w.HeartbeatAnswered(report(1, 3, 5), nil, t0)
		c.do(w)
		if p := w.ProvenEnds(claims, t0, lease); (len(p) == 1) != c.want {
			t.Errorf("%s: released %v, want %v", c.name, p, c.want)
		}
	}
	// The tokens of a membership are used up: nothing is raised beyond it.
	w := NewWorker("h")
	w.ApplyHeartbeat(report(1, 3, 5), 5, t0)
	for i := range 20 {
		w.StartsSent([]Attempt{a}, w.FencingToken)
		if w.FencePendingStarts(5 + tuning.TokenSpan - 1); w.FencingToken > 5+tuning.TokenSpan-1 {
			t.Fatalf("token %d after %d raises", w.FencingToken, i+1)
		}
	}
	if w.FencePendingStarts(5 + tuning.TokenSpan - 1) {
		t.Fatal("raised beyond the membership")
	}
}

// Whatever a proof rests on makes the worker one to be looked at again. Guards
// against claims that stay although their end could be proven.
func TestNothingToProveEndsWithWhatItRestsOn(t *testing.T) {
	const lease = 30 * time.Second
	start := []Attempt{{jobs.TaskID{Job: "wk-1", Task: 0}, 2}}
	for _, c := range []struct {
		name string
		at   time.Time
		do   func(w *Worker)
		want bool
	}{
		{"nothing happens", t0, func(*Worker) {}, true},
		{"an old report comes", t0, func(w *Worker) { w.ApplyHeartbeat(report(1, 3, 5), 5, t0) }, true},
		{"a newer report comes", t0, func(w *Worker) { w.ApplyHeartbeat(report(1, 4, 5), 5, t0) }, false},
		{"a new session begins", t0, func(w *Worker) { w.ApplyHeartbeat(report(2, 1, 5), 5, t0) }, false},
		{"a claim comes, goes, or its job ends", t0, func(w *Worker) { w.MarkChanged() }, false},
		{"the membership changes", t0, func(w *Worker) { w.RaiseToken() }, false},
		{"a task is to stop", t0, func(w *Worker) { w.RequestStop(start[0].ID) }, false},
		{"a report is answered", t0, func(w *Worker) { w.HeartbeatAnswered(report(1, 3, 5), nil, t0) }, false},
		{"a direct start is answered", t0, func(w *Worker) { w.StartsAnswered(start, 5, 1, 3) }, false},
		{"the lease goes on", t0.Add(lease), func(*Worker) {}, true},
		{"the lease has ended", t0.Add(lease + 5*time.Second), func(*Worker) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorker("h1")
			w.ApplyHeartbeat(report(1, 3, 5), 5, t0)
			if got := w.ProvenEnds(claimed(t, 1, 2, jobs.Open), t0, lease); len(got) != 0 {
				t.Fatalf("%v is proven", got)
			}
			c.do(w)
			if got := w.NothingToReconcile(c.at, lease); got != c.want {
				t.Errorf("nothing to prove: %v", got)
			}
		})
	}
}

// answerTo is the commands of the answer to a report.
func answerTo(w *Worker, claims map[jobs.TaskID]*jobs.Job, mayStart bool) []wire.Command {
	out, _ := w.Commands(claims, CommandOptions{Channel: HeartbeatAnswer, AllowStarts: mayStart})
	return out
}

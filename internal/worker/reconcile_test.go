package worker

import (
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func TestNothingIsReleasedBeforeTokenIsAcknowledged(t *testing.T) {
	claims := storedClaim(t, 1, 1, jobs.Open)
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(1, 1, 4, exited(1, wire.ExitCauseDone)), 5, t0)
	if ends := w.ProvenEnds(claims, t0, lease); len(ends) != 0 {
		t.Fatalf("released at an old token: %v", ends)
	}
	if commands := heartbeatCommands(w, nil, true); len(commands) != 0 {
		t.Fatalf("reaped at an old token: %v", commands)
	}
	w.ApplyHeartbeat(newHeartbeat(1, 2, 5, exited(1, wire.ExitCauseDone)), 5, t0)
	ends := w.ProvenEnds(claims, t0, lease)
	if len(ends) != 1 || ends[0].Kind != jobs.Complete {
		t.Fatalf("not released at our token: %v", ends)
	}
}

func TestAbsentTaskIsReleasedOnlyByNewIncarnation(t *testing.T) {
	claims := storedClaim(t, 1, 1, jobs.Open)
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(1, 1, 5), 5, t0)
	if ends := w.ProvenEnds(claims, t0.Add(time.Hour/100), lease); len(ends) != 0 {
		t.Fatalf("absence released a task: %v", ends)
	}
	w.ApplyHeartbeat(newHeartbeat(2, 2, 5), 5, t0)
	if ends := w.ProvenEnds(claims, t0, lease); len(ends) != 1 || ends[0].Kind != jobs.Release {
		t.Fatalf("a new incarnation at our token released %v", ends)
	}
}

// A cancelled job's claim whose start has not come to the worker, and can't any
// more, counted against its team and filled its machine for as long as the
// worker's incarnation lasted.
func TestCancelledClaimIsReleasedOnceNoStartCanArrive(t *testing.T) {
	starts := []Attempt{{testTask, 2}}
	command := []wire.Command{{Verb: wire.VerbStart, Task: testTask.String(), Attempt: 2}}
	older := exited(1, wire.ExitCauseStopped)
	for _, c := range []struct {
		name  string
		phase jobs.Phase
		do    func(w *Worker)
		want  bool
	}{
		{"nothing was sent", jobs.Cancelled, func(*Worker) {}, true},
		{"an older attempt is still listed", jobs.Cancelled, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(1, 4, 5, older), 5, t0) }, true},
		{"the job may run yet", jobs.Open, func(*Worker) {}, false},
		{"our token is not acknowledged", jobs.Cancelled, func(w *Worker) { w.RequireAcknowledgement() }, false},
		{"the last answer held the start", jobs.Cancelled, func(w *Worker) {
			w.HeartbeatAnswered(newHeartbeat(1, 3, 5), command, t0)
		}, false},
		{"a direct call was answered meanwhile", jobs.Cancelled, func(w *Worker) {
			w.HeartbeatAnswered(newHeartbeat(1, 3, 5), command, t0)
			w.ApplyHeartbeat(newHeartbeat(1, 5, 5), 5, t0) // before the answer to the heartbeat came
			w.CallAnswered()
		}, false},
		{"a heartbeat came after the answer that held it", jobs.Cancelled, func(w *Worker) {
			w.HeartbeatAnswered(newHeartbeat(1, 3, 5), command, t0)
			w.ApplyHeartbeat(newHeartbeat(1, 4, 5), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 4, 5), nil, t0)
		}, true},
		{"a direct start is not answered", jobs.Cancelled, func(w *Worker) {
			w.StartsSent(starts, 5)
			w.ApplyHeartbeat(newHeartbeat(1, 9, 5), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 9, 5), nil, t0)
		}, false},
		{"it is answered, and the answer not observed", jobs.Cancelled, func(w *Worker) {
			w.StartsSent(starts, 5)
			w.StartsAnswered(starts, 5, 1, 9)
		}, false},
		{"it is answered, and a heartbeat that was sent before comes", jobs.Cancelled, func(w *Worker) {
			w.StartsSent(starts, 5)
			w.StartsAnswered(starts, 5, 1, 9)
			w.ApplyHeartbeat(newHeartbeat(1, 8, 5), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 8, 5), nil, t0)
		}, false},
		{"it is fenced, and the token not acknowledged", jobs.Cancelled, func(w *Worker) {
			w.StartsSent(starts, 5)
			w.FencePendingStarts(5 + tuning.TokenRange)
			w.ApplyHeartbeat(newHeartbeat(1, 9, 5), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 9, 5), nil, t0)
		}, false},
		{"it is fenced, and the token acknowledged", jobs.Cancelled, func(w *Worker) {
			w.StartsSent(starts, 5)
			w.FencePendingStarts(5 + tuning.TokenRange)
			w.ApplyHeartbeat(newHeartbeat(1, 9, 5+tuning.FencingStep), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 9, 5+tuning.FencingStep), nil, t0)
		}, true},
		{"it was sent under the raised token", jobs.Cancelled, func(w *Worker) {
			w.StartsSent(starts, 5)
			w.FencePendingStarts(5 + tuning.TokenRange)
			w.StartsSent(starts, w.FencingToken)
			w.ApplyHeartbeat(newHeartbeat(1, 9, w.FencingToken), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 9, w.FencingToken), nil, t0)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			claims := storedClaim(t, 1, 2, c.phase)
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, t0)
			w.HeartbeatAnswered(newHeartbeat(1, 3, 5), nil, t0)
			c.do(w)
			if ends := w.ProvenEnds(claims, t0, lease); (len(ends) == 1) != c.want {
				t.Errorf("released %v, want %v", ends, c.want)
			}
		})
	}
}

// Whatever the end of a claim follows from makes the worker one to be reconciled
// again. Guards against claims that stay although their end could be proven.
func TestNothingToReconcileEndsWithAnyChange(t *testing.T) {
	const lease = 30 * time.Second
	start := []Attempt{{testTask, 2}}
	for _, c := range []struct {
		name string
		at   time.Time
		do   func(w *Worker)
		want bool
	}{
		{"nothing happens", t0, func(*Worker) {}, true},
		{"an old heartbeat comes", t0, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, t0) }, true},
		{"a newer heartbeat comes", t0, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(1, 4, 5), 5, t0) }, false},
		{"a new incarnation begins", t0, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(2, 1, 5), 5, t0) }, false},
		{"a claim comes, goes, or its job ends", t0, func(w *Worker) { w.MarkChanged() }, false},
		{"the membership changes", t0, func(w *Worker) { w.RequireAcknowledgement() }, false},
		{"a task is to stop", t0, func(w *Worker) { w.RequestStop(start[0].ID) }, false},
		{"a heartbeat is answered", t0, func(w *Worker) { w.HeartbeatAnswered(newHeartbeat(1, 3, 5), nil, t0) }, false},
		{"a direct start is answered", t0, func(w *Worker) { w.StartsAnswered(start, 5, 1, 3) }, false},
		{"the lease goes on", t0.Add(lease), func(*Worker) {}, true},
		{"the lease has expired", t0.Add(lease + 5*time.Second), func(*Worker) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, t0)
			if ends := w.ProvenEnds(storedClaim(t, 1, 2, jobs.Open), t0, lease); len(ends) != 0 {
				t.Fatalf("%v is proven", ends)
			}
			c.do(w)
			if got := w.NothingToReconcile(c.at, lease); got != c.want {
				t.Errorf("nothing to reconcile: %v", got)
			}
		})
	}
}

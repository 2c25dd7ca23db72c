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
		t.Fatalf("ends before our token is acknowledged: %v", ends)
	}
	if commands := heartbeatCommands(w, nil, true); len(commands) != 0 {
		t.Fatalf("commands before our token is acknowledged: %v", commands)
	}
	w.ApplyHeartbeat(newHeartbeat(1, 2, 5, exited(1, wire.ExitCauseDone)), 5, t0)
	ends := w.ProvenEnds(claims, t0, lease)
	if len(ends) != 1 || ends[0].Kind != jobs.EventTaskComplete {
		t.Fatalf("ends %v after our token was acknowledged, want one completion", ends)
	}
}

func TestAbsentTaskIsReleasedOnlyByNewIncarnation(t *testing.T) {
	claims := storedClaim(t, 1, 1, jobs.Open)
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(1, 1, 5), 5, t0)
	if ends := w.ProvenEnds(claims, t0.Add(time.Hour/100), lease); len(ends) != 0 {
		t.Fatalf("ends of a claim whose task is only not listed: %v", ends)
	}
	w.ApplyHeartbeat(newHeartbeat(2, 2, 5), 5, t0)
	if ends := w.ProvenEnds(claims, t0, lease); len(ends) != 1 || ends[0].Kind != jobs.EventTaskRelease {
		t.Fatalf("ends %v after a new incarnation with our token, want one release", ends)
	}
}

// Guards against claims of cancelled jobs that are never released because their start did not reach the
// worker and no longer can: they counted against their team and filled their machine until the
// worker's incarnation ended.
func TestCancelledClaimIsReleasedOnceNoStartCanArrive(t *testing.T) {
	starts := []Attempt{{testTask, 2}}
	command := []wire.Command{{Verb: wire.VerbStart, Task: testTask.String(), Attempt: 2}}
	older := exited(1, wire.ExitCauseStopped)
	for _, c := range []struct {
		name   string
		phase  jobs.Phase
		events func(w *Worker)
		want   bool
	}{
		{"no start was sent", jobs.Cancelled, func(*Worker) {}, true},
		{"an older attempt is still listed", jobs.Cancelled, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(1, 4, 5, older), 5, t0) }, true},
		{"the job is still open", jobs.Open, func(*Worker) {}, false},
		{"our token is not acknowledged yet", jobs.Cancelled, func(w *Worker) { w.RequireAcknowledgement() }, false},
		{"the answer to the last heartbeat contained the start", jobs.Cancelled, func(w *Worker) {
			w.RecordHeartbeatAnswered(newHeartbeat(1, 3, 5), command, t0)
		}, false},
		{"a direct call was answered since the answer with the start", jobs.Cancelled, func(w *Worker) {
			w.RecordHeartbeatAnswered(newHeartbeat(1, 3, 5), command, t0)
			w.ApplyHeartbeat(newHeartbeat(1, 5, 5), 5, t0) // sent before the answer to the heartbeat arrived
			w.RecordCallAnswered()
		}, false},
		{"a heartbeat followed the answer with the start", jobs.Cancelled, func(w *Worker) {
			w.RecordHeartbeatAnswered(newHeartbeat(1, 3, 5), command, t0)
			w.ApplyHeartbeat(newHeartbeat(1, 4, 5), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 4, 5), nil, t0)
		}, true},
		{"a direct start is not answered yet", jobs.Cancelled, func(w *Worker) {
			w.RecordStartsSent(starts, 5)
			w.ApplyHeartbeat(newHeartbeat(1, 9, 5), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 9, 5), nil, t0)
		}, false},
		{"a direct start is answered, the answer not applied yet", jobs.Cancelled, func(w *Worker) {
			w.RecordStartsSent(starts, 5)
			w.RecordStartsAnswered(starts, 5, 1, 9)
		}, false},
		{"a direct start is answered, then an older heartbeat arrives", jobs.Cancelled, func(w *Worker) {
			w.RecordStartsSent(starts, 5)
			w.RecordStartsAnswered(starts, 5, 1, 9)
			w.ApplyHeartbeat(newHeartbeat(1, 8, 5), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 8, 5), nil, t0)
		}, false},
		{"a direct start is fenced, the raised token not acknowledged", jobs.Cancelled, func(w *Worker) {
			w.RecordStartsSent(starts, 5)
			w.FencePendingStarts(5 + tuning.TokenRange)
			w.ApplyHeartbeat(newHeartbeat(1, 9, 5), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 9, 5), nil, t0)
		}, false},
		{"a direct start is fenced, the raised token acknowledged", jobs.Cancelled, func(w *Worker) {
			w.RecordStartsSent(starts, 5)
			w.FencePendingStarts(5 + tuning.TokenRange)
			w.ApplyHeartbeat(newHeartbeat(1, 9, 5+1), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 9, 5+1), nil, t0)
		}, true},
		{"a direct start was sent with the raised token", jobs.Cancelled, func(w *Worker) {
			w.RecordStartsSent(starts, 5)
			w.FencePendingStarts(5 + tuning.TokenRange)
			w.RecordStartsSent(starts, w.FencingToken)
			w.ApplyHeartbeat(newHeartbeat(1, 9, w.FencingToken), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 9, w.FencingToken), nil, t0)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			claims := storedClaim(t, 1, 2, c.phase)
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, t0)
			w.RecordHeartbeatAnswered(newHeartbeat(1, 3, 5), nil, t0)
			c.events(w)
			if ends := w.ProvenEnds(claims, t0, lease); (len(ends) == 1) != c.want {
				t.Errorf("ends %v, want an end: %v", ends, c.want)
			}
		})
	}
}

// Guards against claims that are kept although their end could be proven: any change of an input of
// ProvenEnds must make the worker due for reconciliation again.
func TestNothingToReconcileEndsWithAnyChange(t *testing.T) {
	const lease = 30 * time.Second
	start := []Attempt{{testTask, 2}}
	for _, c := range []struct {
		name   string
		at     time.Time
		change func(w *Worker)
		want   bool
	}{
		{"no change", t0, func(*Worker) {}, true},
		{"a heartbeat that is not newer arrives", t0, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, t0) }, true},
		{"a newer heartbeat arrives", t0, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(1, 4, 5), 5, t0) }, false},
		{"a new incarnation begins", t0, func(w *Worker) { w.ApplyHeartbeat(newHeartbeat(2, 1, 5), 5, t0) }, false},
		{"a claim or its job changes", t0, func(w *Worker) { w.MarkChanged() }, false},
		{"the membership changes", t0, func(w *Worker) { w.RequireAcknowledgement() }, false},
		{"a task is asked to stop", t0, func(w *Worker) { w.RequestStop(start[0].Task) }, false},
		{"a heartbeat is answered", t0, func(w *Worker) { w.RecordHeartbeatAnswered(newHeartbeat(1, 3, 5), nil, t0) }, false},
		{"a direct start is answered", t0, func(w *Worker) { w.RecordStartsAnswered(start, 5, 1, 3) }, false},
		{"the lease lasts", t0.Add(lease), func(*Worker) {}, true},
		{"the lease has expired", t0.Add(lease + 5*time.Second), func(*Worker) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, t0)
			if ends := w.ProvenEnds(storedClaim(t, 1, 2, jobs.Open), t0, lease); len(ends) != 0 {
				t.Fatalf("ends %v before any change", ends)
			}
			c.change(w)
			if got := w.NothingToReconcile(c.at, lease); got != c.want {
				t.Errorf("nothing to reconcile: %v, want %v", got, c.want)
			}
		})
	}
}

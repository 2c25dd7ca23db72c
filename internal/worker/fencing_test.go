package worker

import (
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Guards against treating a direct start as void when the worker acknowledges the token it was sent
// with: the start, or a copy of it, may have been sent before the acknowledgement and arrive after it.
func TestAcknowledgementKeepsPendingStartUnderOurToken(t *testing.T) {
	w := NewWorker(testMachine)
	starts := []Attempt{{testTask, 1}}
	w.ApplyHeartbeat(newHeartbeat(1, 1, 5, exited(1, wire.ExitCauseStopped)), 6, t0)
	w.RecordStartsSent(starts, 6)
	w.ApplyHeartbeat(newHeartbeat(1, 2, 6, exited(1, wire.ExitCauseStopped)), 6, t0)
	if verbs := verbsOf(heartbeatCommands(w, nil, true)); w.State != TokenAcknowledged || verbs != "" {
		t.Fatalf("state %s, commands %q, want an acknowledged token and no commands", w.State, verbs)
	}
	w.RecordStartsAnswered(starts, 6, 1, 2)
	w.ApplyHeartbeat(newHeartbeat(1, 3, 6, exited(1, wire.ExitCauseStopped)), 6, t0)
	if verbs := verbsOf(heartbeatCommands(w, nil, true)); verbs != "" {
		t.Fatalf("commands %q after the start was answered, want none", verbs)
	}
	w.ApplyHeartbeat(newHeartbeat(1, 4, 7, exited(1, wire.ExitCauseStopped)), 6, t0)
	if verbs := verbsOf(heartbeatCommands(w, nil, true)); verbs != "reap " {
		t.Fatalf("commands %q after a higher token was acknowledged, want a reap", verbs)
	}
}

// Guards against a late copy of an answered direct start that runs an attempt once more: the worker
// was told to forget the attempt while it still obeyed the token of that start.
func TestReapWaitsForTokenAboveThatOfAnsweredDirectStart(t *testing.T) {
	const firstToken, maxToken = 5, 100
	start := []Attempt{{testTask, 1}}
	older, newer := exited(1, wire.ExitCauseStopped), running(2)
	for _, c := range []struct {
		name   string
		listed []wire.TaskStatus
		want   string
	}{
		{"stopped", []wire.TaskStatus{older}, "reap "},
		{"done", []wire.TaskStatus{exited(1, wire.ExitCauseDone)}, "reap "},
		{"refused for lack of room", []wire.TaskStatus{exited(1, wire.ExitCauseNoRoom)}, "reap "},
		{"before a newer attempt in the list", []wire.TaskStatus{older, newer}, "reap "},
		{"after a newer attempt in the list", []wire.TaskStatus{newer, older}, "reap "},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 1, firstToken), firstToken, t0)
			w.RecordStartsSent(start, w.FencingToken)
			w.RecordStartsAnswered(start, w.FencingToken, 1, 2)
			var claims map[jobs.TaskID]*jobs.Job // the release of attempt 1 is stored
			if len(c.listed) > 1 {
				claims = storedClaim(t, 1, 2, jobs.Open)
			}
			for sequence := uint64(3); sequence < 6; sequence++ {
				w.ApplyHeartbeat(newHeartbeat(1, sequence, firstToken, c.listed...), firstToken, t0)
				w.FenceExitedAttempts(maxToken)
				if verbs := verbsOf(heartbeatCommands(w, claims, true)); verbs != "" {
					t.Fatalf("commands %q while the worker obeys the token of the start, want none", verbs)
				}
			}
			if w.FencingToken != firstToken+1 {
				t.Fatalf("token %d after three heartbeats, want %d: one raise", w.FencingToken, firstToken+1)
			}
			w.ApplyHeartbeat(newHeartbeat(1, 6, w.FencingToken, c.listed...), firstToken, t0)
			if verbs := verbsOf(heartbeatCommands(w, claims, true)); verbs != c.want {
				t.Fatalf("commands %q after the raised token was acknowledged, want %q", verbs, c.want)
			}
		})
	}
}

// Guards against using up the tokens of a membership: one is raised only for exits of attempts that a
// direct start under the current token began.
func TestTokenIsRaisedOnlyForExitsOfDirectStarts(t *testing.T) {
	const firstToken, maxToken = 5, 100
	start := []Attempt{{testTask, 1}}
	for _, c := range []struct {
		name   string
		events func(w *Worker)
		want   uint64
	}{
		{"nothing has exited", func(w *Worker) {
			w.RecordStartsSent(start, firstToken)
			w.ApplyHeartbeat(newHeartbeat(1, 2, firstToken, running(1)), firstToken, t0)
		}, firstToken},
		{"the answer to a heartbeat started the attempt", func(w *Worker) {
			w.ApplyHeartbeat(newHeartbeat(1, 2, firstToken, exited(1, wire.ExitCauseDone)), firstToken, t0)
		}, firstToken},
		{"the start was sent to a former incarnation", func(w *Worker) {
			w.RecordStartsSent(start, firstToken)
			w.ApplyHeartbeat(newHeartbeat(2, 2, firstToken, exited(1, wire.ExitCauseDone)), firstToken, t0)
		}, firstToken},
		{"the start was sent under the former membership", func(w *Worker) {
			w.RecordStartsSent(start, firstToken-1)
			w.ApplyHeartbeat(newHeartbeat(1, 2, firstToken, exited(1, wire.ExitCauseDone)), firstToken, t0)
		}, firstToken},
		{"the start was sent under the current token", func(w *Worker) {
			w.RecordStartsSent(start, firstToken)
			w.ApplyHeartbeat(newHeartbeat(1, 2, firstToken, exited(1, wire.ExitCauseDone)), firstToken, t0)
		}, firstToken + 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 1, firstToken), firstToken, t0)
			c.events(w)
			if w.FenceExitedAttempts(maxToken); w.FencingToken != c.want {
				t.Errorf("token %d, want %d", w.FencingToken, c.want)
			}
		})
	}
}

// Guards against a direct start that nothing could fence off while its membership lasts.
func TestDirectStartsNeedATokenThatCanBeRaised(t *testing.T) {
	const maxToken = 20
	w := NewWorker(testMachine)
	if !w.CanStartDirectly(maxToken-1, maxToken) {
		t.Error("no direct start below the last token")
	}
	if w.CanStartDirectly(maxToken, maxToken) {
		t.Error("a direct start under a membership with one token")
	}
	if w.FencingToken = maxToken; w.CanStartDirectly(maxToken-1, maxToken) {
		t.Error("a direct start under the last token")
	}
}

func TestFencingStopsAtLastTokenOfMembership(t *testing.T) {
	const firstToken, maxToken = 5, 5 + 15
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(1, 3, firstToken), firstToken, t0)
	for i := range 20 {
		w.RecordStartsSent([]Attempt{{testTask, 2}}, w.FencingToken)
		if w.FencePendingStarts(maxToken); w.FencingToken > maxToken {
			t.Fatalf("token %d after %d raises", w.FencingToken, i+1)
		}
	}
	if w.FencePendingStarts(maxToken) {
		t.Fatal("reports a token above the last one of the membership")
	}
}

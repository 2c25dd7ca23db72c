package worker

import (
	"testing"

	"wheatspur/wire"
)

// Guards against treating a pending start as void when the worker acknowledges the token it was sent
// with: it may have been sent before the acknowledgement and arrive after it.
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
	if verbs := verbsOf(heartbeatCommands(w, nil, true)); verbs != "reap " {
		t.Fatalf("commands %q after the start was answered, want a reap", verbs)
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

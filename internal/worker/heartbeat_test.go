package worker

import (
	"testing"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func TestOlderHeartbeatIsNotApplied(t *testing.T) {
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(2, 9, 5, running(1)), 5, t0)
	if w.ApplyHeartbeat(newHeartbeat(2, 8, 5), 5, t0) || w.ApplyHeartbeat(newHeartbeat(1, 99, 5), 5, t0) || len(w.Tasks) != 1 {
		t.Fatal("an older heartbeat was applied")
	}
}

// A late copy of a heartbeat once counted as an answered heartbeat: the lease of
// a machine that was gone seemed renewed for as long as copies came.
func TestLateCopyOfHeartbeatIsStale(t *testing.T) {
	first := newHeartbeat(2, 5, 7)
	answered := func() *Worker {
		w := NewWorker(testMachine)
		if w.IsStale(first) {
			t.Fatal("the first heartbeat is no copy")
		}
		w.ApplyHeartbeat(first, 7, t0)
		w.HeartbeatAnswered(first, nil, t0)
		return w
	}
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"a copy", 2, 5, true},
		{"an older one", 2, 4, true},
		{"one of an older incarnation", 1, 99, true},
		{"a newer one", 2, 6, false},
		{"one of a newer incarnation", 3, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := answered().IsStale(newHeartbeat(c.incarnation, c.sequence, 0)); got != c.want {
				t.Errorf("incarnation %d sequence %d: stale %v", c.incarnation, c.sequence, got)
			}
		})
	}
	// The answer to a direct call overtook a heartbeat that is still in flight:
	// that heartbeat is answered, and its answer renews the lease.
	w := answered()
	w.ApplyHeartbeat(newHeartbeat(2, 9, 7), 7, t0)
	if w.IsStale(newHeartbeat(2, 8, 0)) {
		t.Fatal("an overtaken heartbeat is taken for a copy")
	}
}

func TestWorkerIsUnresponsiveWhenCommandsHaveNoEffect(t *testing.T) {
	w := NewWorker(testMachine)
	sequence, now := uint64(0), t0
	answer := func(commands ...wire.Command) {
		sequence++
		heartbeat := newHeartbeat(1, sequence, 7)
		w.ApplyHeartbeat(heartbeat, 7, now)
		w.HeartbeatAnswered(heartbeat, commands, now)
	}
	start := wire.Command{Verb: wire.VerbStart, Task: testTask.String(), Attempt: 1}
	answer(start)
	now = now.Add(tuning.ConfirmAfter / 2)
	answer(start) // the first answer may still be in flight
	if w.Unresponsive {
		t.Fatal("unresponsive before an effect could show")
	}
	now = now.Add(tuning.ConfirmAfter)
	answer(start)
	if !w.Unresponsive {
		t.Fatal("a start that never has an effect is not noticed")
	}
	answer() // the effect shows now: no command is due
	if w.Unresponsive {
		t.Fatal("unresponsive though the start was carried out")
	}
	answer(start)
	now = now.Add(2 * tuning.ConfirmAfter)
	answer(start)
	if w.CallAnswered(); w.Unresponsive {
		t.Fatal("unresponsive though it answered a direct call")
	}
	answer(start)
	now = now.Add(2 * tuning.ConfirmAfter)
	w.ApplyHeartbeat(newHeartbeat(2, sequence+1, 7), 7, now)
	heartbeat := newHeartbeat(2, sequence+2, 7)
	w.ApplyHeartbeat(heartbeat, 7, now)
	if w.HeartbeatAnswered(heartbeat, []wire.Command{start}, now); w.Unresponsive {
		t.Fatal("commands of an earlier incarnation count against the new one")
	}
}

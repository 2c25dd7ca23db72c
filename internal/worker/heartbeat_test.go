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

// Guards against late copies of an answered heartbeat: they were answered again, so that the lease of a
// dead machine looked renewed for as long as copies arrived.
func TestLateCopyOfHeartbeatIsStale(t *testing.T) {
	first := newHeartbeat(2, 5, 7)
	answered := func() *Worker {
		w := NewWorker(testMachine)
		if w.IsStale(first) {
			t.Fatal("the first heartbeat is taken for a copy")
		}
		w.ApplyHeartbeat(first, 7, t0)
		w.RecordHeartbeatAnswered(first, nil, t0)
		return w
	}
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"copy of the answered heartbeat", 2, 5, true},
		{"older heartbeat", 2, 4, true},
		{"heartbeat of an older incarnation", 1, 99, true},
		{"newer heartbeat", 2, 6, false},
		{"heartbeat of a newer incarnation", 3, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := answered().IsStale(newHeartbeat(c.incarnation, c.sequence, 0)); got != c.want {
				t.Errorf("incarnation %d, sequence %d: stale %v, want %v", c.incarnation, c.sequence, got, c.want)
			}
		})
	}
	// The answer to a direct call has overtaken a heartbeat: that heartbeat must still be answered,
	// and its answer renews the lease.
	w := answered()
	w.ApplyHeartbeat(newHeartbeat(2, 9, 7), 7, t0)
	if w.IsStale(newHeartbeat(2, 8, 0)) {
		t.Fatal("a heartbeat overtaken by the answer to a direct call is taken for a copy")
	}
}

func TestWorkerIsUnresponsiveWhenCommandsHaveNoEffect(t *testing.T) {
	w := NewWorker(testMachine)
	sequence, now := uint64(0), t0
	answer := func(commands ...wire.Command) {
		sequence++
		heartbeat := newHeartbeat(1, sequence, 7)
		w.ApplyHeartbeat(heartbeat, 7, now)
		w.RecordHeartbeatAnswered(heartbeat, commands, now)
	}
	start := wire.Command{Verb: wire.VerbStart, Task: testTask.String(), Attempt: 1}
	answer(start)
	now = now.Add(tuning.ConfirmAfter / 2)
	answer(start) // the first answer may still be in flight
	if w.Unresponsive {
		t.Fatal("unresponsive before the effect of the start could show")
	}
	now = now.Add(tuning.ConfirmAfter)
	answer(start)
	if !w.Unresponsive {
		t.Fatal("still responsive although the start has had no effect for too long")
	}
	answer() // the effect shows now, so that no command is due
	if w.Unresponsive {
		t.Fatal("unresponsive although the start was carried out")
	}
	answer(start)
	now = now.Add(2 * tuning.ConfirmAfter)
	answer(start)
	if w.RecordCallAnswered(); w.Unresponsive {
		t.Fatal("unresponsive although the worker answered a direct call")
	}
	answer(start)
	now = now.Add(2 * tuning.ConfirmAfter)
	w.ApplyHeartbeat(newHeartbeat(2, sequence+1, 7), 7, now)
	heartbeat := newHeartbeat(2, sequence+2, 7)
	w.ApplyHeartbeat(heartbeat, 7, now)
	if w.RecordHeartbeatAnswered(heartbeat, []wire.Command{start}, now); w.Unresponsive {
		t.Fatal("commands of an earlier incarnation count against the new one")
	}
}

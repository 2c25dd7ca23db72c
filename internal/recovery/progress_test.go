package recovery

import (
	"testing"
	"time"
)

// A node's recovery goes through its phases in order, begins anew when it loses
// its membership, and never comes back once it is over.
func TestPhases(t *testing.T) {
	now := time.UnixMilli(0)
	n := NewProgress(now)
	step := func(e Event, want Phase) {
		t.Helper()
		now = now.Add(time.Second)
		before := n.Phase
		if changed := n.Apply(e, now); n.Phase != want || changed != (before != want) {
			t.Fatalf("%s in %s: %s", e, before, n.Phase)
		}
		if before != want && n.Since != now {
			t.Fatalf("since %v", n.Since)
		}
	}
	step(Accounted, Loading)
	step(CaughtUp, Loading)
	step(Loaded, Reconciling)
	began := now
	step(CaughtUp, Reconciling)
	step(Lost, Loading)
	step(Loaded, Reconciling)
	if n.Began == began || !n.MachinesUnknown() || n.Done() {
		t.Fatal("a new membership does not begin the time to report anew")
	}
	step(Accounted, CatchingUp)
	step(Lost, Loading)
	step(Loaded, Reconciling)
	step(Accounted, CatchingUp)
	if n.MachinesUnknown() || n.Done() {
		t.Fatal("catching up is blind, or over")
	}
	step(CaughtUp, Recovered)
	for _, e := range []Event{Lost, Loaded, Accounted, CaughtUp} {
		step(e, Recovered)
	}
}

func TestStatesOfAMachine(t *testing.T) {
	const patience = 12 * time.Second
	for _, c := range []struct {
		heard, proven bool
		waited        time.Duration
		want          MachineState
	}{
		{false, false, time.Second, Unknown},
		{true, false, time.Second, Reported},
		{true, true, time.Second, Reconciled},
		{true, true, time.Minute, Reconciled},
		{false, false, time.Minute, Missing},
		{true, false, time.Minute, Missing}, // it reports, and does not take our token
	} {
		if got := StateOf(c.heard, c.proven, c.waited, patience); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
	if (Count{Unknown: 1}).Accounted() || (Count{Reported: 1}).Accounted() || !(Count{Reconciled: 3, Missing: 1}).Accounted() {
		t.Error("what counts as accounted")
	}
}

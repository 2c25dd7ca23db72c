package recovery

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets how many cases are generated, and from which seed, so that the
// verdict is the same at every run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// In no time of any length do more starts go than its rate, and a second's worth.
func TestThePacerKeepsItsRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		now := time.UnixMilli(0)
		p := NewPacer(float64(rate), now)
		var admitted []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "count") {
				p.SetBacklog(Backlog{rapid.IntRange(0, 30).Draw(t, "services"), rapid.IntRange(0, 90).Draw(t, "arrays")})
			}
			for range rapid.IntRange(0, 60).Draw(t, "tries") {
				if p.Admit(Class(rapid.IntRange(0, 1).Draw(t, "class")), now) {
					admitted = append(admitted, now)
				}
			}
		}
		for first := range admitted {
			for last := first; last < len(admitted); last++ {
				span := admitted[last].Sub(admitted[first]).Seconds()
				if n := last - first + 1; float64(n) > float64(rate)*(span+1)+1e-6 {
					t.Fatalf("%d starts in %v s at %d a second", n, span, rate)
				}
			}
		}
	})
}

// Starts of arrays leave what services that wait need.
func TestServicesStartFirst(t *testing.T) {
	now := time.UnixMilli(0)
	p := NewPacer(10, now)
	p.SetBacklog(Backlog{8, 100})
	arrays, services := 0, 0
	for range 20 {
		if p.Admit(ArrayStart, now) {
			arrays++
		}
	}
	for range 20 {
		if p.Admit(ServiceStart, now) {
			services++
		}
	}
	if arrays != 2 || services != 8 {
		t.Fatalf("%d arrays and %d services of ten", arrays, services)
	}
	free := NewPacer(0, now)
	for range 1000 {
		if !free.Admit(ArrayStart, now) {
			t.Fatal("a pacer without a rate holds a start back")
		}
	}
}

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

package recovery

import (
	"testing"
	"time"
)

// A controller's recovery goes through its phases in order, starts over when the controller
// loses its membership, and never resumes once it is over.
func TestRecoveryPhases(t *testing.T) {
	now := time.UnixMilli(0)
	p := NewProgress(now)
	step := func(e Event, want Phase) {
		t.Helper()
		now = now.Add(time.Second)
		before := p.Phase
		if changed := p.Apply(e, now); p.Phase != want || changed != (before != want) {
			t.Fatalf("phase after %s in %s: %s", e, before, p.Phase)
		}
		if before != want && !p.Since.Equal(now) {
			t.Fatalf("the phase changed, but Since is %v", p.Since)
		}
	}
	step(AllAccounted, Loading)
	step(CaughtUp, Loading)
	step(Loaded, Reconciling)
	began := now
	step(CaughtUp, Reconciling)
	step(MembershipLost, Loading)
	step(Loaded, Reconciling)
	if p.MemberSince.Equal(began) || !p.MachinesUnaccounted() || p.IsRecovered() {
		t.Fatal("a new membership does not restart the time for heartbeats")
	}
	step(AllAccounted, CatchingUp)
	step(MembershipLost, Loading)
	step(Loaded, Reconciling)
	step(AllAccounted, CatchingUp)
	if p.MachinesUnaccounted() || p.IsRecovered() {
		t.Fatal("while catching up, machines are unknown or the recovery is over")
	}
	step(CaughtUp, Recovered)
	for _, e := range []Event{MembershipLost, Loaded, AllAccounted, CaughtUp} {
		step(e, Recovered)
	}
}

func TestMachineStates(t *testing.T) {
	const timeout = 12 * time.Second
	for _, c := range []struct {
		name                        string
		reported, tokenAcknowledged bool
		waited                      time.Duration
		want                        MachineState
	}{
		{"no heartbeat yet", false, false, time.Second, MachineUnknown},
		{"heartbeat without our token", true, false, time.Second, HeartbeatReceived},
		{"token acknowledged", true, true, time.Second, MachineReconciled},
		{"token acknowledged, after the timeout", true, true, time.Minute, MachineReconciled},
		{"no heartbeat, after the timeout", false, false, time.Minute, MachineMissing},
		{"heartbeats that don't acknowledge our token, after the timeout", true, false, time.Minute, MachineMissing},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := MachineStateOf(c.reported, c.tokenAcknowledged, c.waited, timeout); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

func TestAccountedMachines(t *testing.T) {
	for _, c := range []struct {
		name  string
		count MachineCounts
		want  bool
	}{
		{"one unknown", MachineCounts{MachineUnknown: 1}, false},
		{"one not reconciled yet", MachineCounts{HeartbeatReceived: 1}, false},
		{"reconciled and missing", MachineCounts{MachineReconciled: 3, MachineMissing: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.count.AllAccountedFor(); got != c.want {
				t.Errorf("accounted for %v: %v", c.count, got)
			}
		})
	}
}

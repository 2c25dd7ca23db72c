package quota

import (
	"testing"
	"time"
)

// The leader freezes, and knows of it at once; a claim that another controller
// stored just before is not read yet. It does not share out before it is. Guards
// against giving the room of that claim away.
func TestRebalanceWaitsUntilAllClaimsAreRead(t *testing.T) {
	m := newSharedModel(t, 3, "a", "b") // a has two, b one
	admission := m.mustAdmit(t, "b", 1)
	leader := m.controllers["a"]
	freeze := m.rebalance(leader, onePendingUnit, true)
	if freeze == nil || freeze.recordWrite.Event != Freeze {
		t.Fatalf("no freeze: %+v", freeze)
	}
	m.deliver(admission)
	m.deliver(freeze)
	if w := m.rebalance(leader, onePendingUnit, true); w != nil {
		t.Fatalf("%s before the claim before it is read", w.recordWrite.Event)
	}
	leader.readTo(m.log, len(m.log))
	share := m.rebalance(leader, onePendingUnit, true)
	if share == nil || share.recordWrite.Event != ShareOut || share.recordWrite.Record.Shares["b"].GPUs < 1 {
		t.Fatalf("shared out as %+v", share)
	}
}

// Without budget for writes only a new membership is served.
func TestWithoutWriteBudgetOnlyANewMembershipIsRebalanced(t *testing.T) {
	m := newSharedModel(t, 3, "a", "b")
	n := m.controllers["a"]
	ledger := n.manager.Ledger(m.team)
	ledger.RecordShortage(true, m.now, n.membership.token)
	later := m.now.Add(time.Minute)
	if w := ledger.Rebalance(later, n.view(m.team), onePendingUnit, false); w != nil {
		t.Fatalf("%s without budget for it", w.Event)
	}
	m.setMembership([]string{"a", "b"}, "a")
	n.readTo(m.log, len(m.log))
	if w := ledger.Rebalance(later, n.view(m.team), onePendingUnit, false); w == nil || w.Event != ShareOut {
		t.Fatalf("a new membership: %+v", w)
	}
}

// A limit below what runs: no controller admits until enough has ended, the shares
// shrink with what ends, and nothing is written while nothing ends.
func TestLimitLoweredBelowUseAdmitsOnlyAfterReleases(t *testing.T) {
	m := newSharedModel(t, 6, "a", "b")
	for range 6 {
		for machine, label := range []string{"a", "b"} {
			m.tryAdmit(label, machine)
		}
	}
	m.converge()
	if len(m.claims) != 6 {
		t.Fatalf("%d claims", len(m.claims))
	}
	for _, n := range m.controllers {
		n.configure(m.team, Amount{GPUs: 3})
	}
	for ended := range 6 {
		if w := m.rebalance(m.controllers["a"], noPendingWork, true); ended == 0 && w != nil {
			t.Fatalf("%+v is written though nothing has ended", w.recordWrite)
		}
		m.release(m.claimKeys()[0])
		m.converge()
		admitted := 0
		for machine, label := range []string{"a", "b"} {
			for m.admit(m.controllers[label], machine, Amount{GPUs: 1}) != nil {
				admitted++
			}
		}
		if want := max(0, 3-len(m.claims)); admitted != want {
			t.Fatalf("%d claims of a limit of 3: %d more are admitted, want %d", len(m.claims), admitted, want)
		}
		for _, w := range m.inFlight {
			w.controller.manager.Ledger(m.team).ResolveAdmission(w.admission, Failed, nil)
		}
		m.inFlight = nil
	}
}

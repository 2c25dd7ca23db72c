package quota

import (
	"testing"
	"time"
)

// The leader freezes the shares while a claim that another controller stored just
// before has not been read yet. The leader must read it before it divides the limit,
// or it would give away the share that this claim takes.
func TestRebalanceWaitsUntilAllClaimsAreRead(t *testing.T) {
	m := newSharedModel(t, 3, "a", "b") // a has a share of two, b of one
	admission := m.mustAdmit(t, "b", 1)
	leader := m.controllers["a"]
	freeze := m.rebalance(leader, onePendingUnit, true)
	if freeze == nil || freeze.recordWrite.Event != Freeze {
		t.Fatalf("no freeze: %+v", freeze)
	}
	m.deliver(admission)
	m.deliver(freeze)
	if w := m.rebalance(leader, onePendingUnit, true); w != nil {
		t.Fatalf("%s before the claim stored before the freeze is read", w.recordWrite.Event)
	}
	leader.readTo(m.log, len(m.log))
	share := m.rebalance(leader, onePendingUnit, true)
	if share == nil || share.recordWrite.Event != DivideLimit || share.recordWrite.Record.Shares["b"].GPUs < 1 {
		t.Fatalf("the limit is divided as %+v", share)
	}
}

// Without write budget, Rebalance divides the limit only for a new membership.
func TestWithoutWriteBudgetOnlyANewMembershipIsRebalanced(t *testing.T) {
	m := newSharedModel(t, 3, "a", "b")
	n := m.controllers["a"]
	ledger := n.manager.Ledger(m.team)
	ledger.RecordShortage(true, m.now, n.membership.token)
	later := m.now.Add(time.Minute)
	if w := ledger.Rebalance(later, n.view(m.team), onePendingUnit, false); w != nil {
		t.Fatalf("%s without write budget", w.Event)
	}
	m.setMembership([]string{"a", "b"}, "a")
	n.readTo(m.log, len(m.log))
	if w := ledger.Rebalance(later, n.view(m.team), onePendingUnit, false); w == nil || w.Event != DivideLimit {
		t.Fatalf("write under a new membership: %+v", w)
	}
}

// The limit is lowered below what is in use. No controller admits work until enough
// claims are released; the shares shrink with each release, and nothing is written
// while no claim is released.
func TestLimitLoweredBelowUseAdmitsOnlyAfterReleases(t *testing.T) {
	m := newSharedModel(t, 6, "a", "b")
	for range 6 {
		for machine, label := range []string{"a", "b"} {
			m.tryAdmit(label, machine)
		}
	}
	m.converge()
	if len(m.claims) != 6 {
		t.Fatalf("%d claims, want 6", len(m.claims))
	}
	for _, n := range m.controllers {
		n.configure(m.team, Amount{GPUs: 3})
	}
	for ended := range 6 {
		if w := m.rebalance(m.controllers["a"], noPendingWork, true); ended == 0 && w != nil {
			t.Fatalf("%+v is written although no claim was released", w.recordWrite)
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
			t.Fatalf("%d claims under a limit of 3: %d more are admitted, want %d", len(m.claims), admitted, want)
		}
		for _, w := range m.inFlight {
			w.controller.manager.Ledger(m.team).ResolveAdmission(w.admission, OutcomeNotStored, nil)
		}
		m.inFlight = nil
	}
}

package quota

import (
	"testing"
	"time"
)

// The leader freezes, and knows of it at once; a claim that another node stored
// just before is not read yet. It does not share out before it is. Guards
// against giving the room of that claim away.
func TestNothingIsSharedOutBeforeAllClaimsAreRead(t *testing.T) {
	m := newShared(t, 3, "a", "b") // a has two, b one
	claim := m.mustAdmit(t, "b", 1)
	leader := m.nodes["a"]
	freeze := m.redistribute(leader, oneUnit, true)
	if freeze == nil || freeze.shares.Event != Freeze {
		t.Fatalf("no freeze: %+v", freeze)
	}
	m.deliver(claim)
	m.deliver(freeze)
	if w := m.redistribute(leader, oneUnit, true); w != nil {
		t.Fatalf("%s before the claim of before is read", w.shares.Event)
	}
	leader.readTo(m.log, len(m.log))
	share := m.redistribute(leader, oneUnit, true)
	if share == nil || share.shares.Event != ShareOut || share.shares.Record.Shares["b"].GPUs < 1 {
		t.Fatalf("shared out as %+v", share)
	}
}

// Without room in the budget of changes only a new membership is served.
func TestWithoutBudgetOnlyANewMembershipIsServed(t *testing.T) {
	m := newShared(t, 3, "a", "b")
	n := m.nodes["a"]
	ledger := n.book.Ledger(m.team)
	ledger.RecordShortage(true, m.now, n.members.token)
	later := m.now.Add(time.Minute)
	if w := ledger.Rebalance(later, n.view(m.team), oneUnit, false); w != nil {
		t.Fatalf("%s without room for it", w.Event)
	}
	m.join([]string{"a", "b"}, "a")
	n.readTo(m.log, len(m.log))
	if w := ledger.Rebalance(later, n.view(m.team), oneUnit, false); w == nil || w.Event != ShareOut {
		t.Fatalf("a new membership: %+v", w)
	}
}

// A limit below what runs: nobody admits until enough has ended, the shares
// shrink with what ends, and nothing is written while nothing ends.
func TestALimitLoweredBelowWhatRuns(t *testing.T) {
	m := newShared(t, 6, "a", "b")
	for range 6 {
		for machine, label := range []string{"a", "b"} {
			if w := m.admit(m.nodes[label], machine, Amount{GPUs: 1}); w != nil {
				m.deliver(w)
			}
		}
	}
	m.settle()
	if len(m.claims) != 6 {
		t.Fatalf("%d claims", len(m.claims))
	}
	for _, n := range m.nodes {
		n.configure(m.team, Amount{GPUs: 3})
	}
	for ended := range 6 {
		if w := m.redistribute(m.nodes["a"], none, true); ended == 0 && w != nil {
			t.Fatalf("%+v is written though nothing has ended", w.shares)
		}
		m.release(m.keys()[0])
		m.settle()
		left := 0
		for machine, label := range []string{"a", "b"} {
			for m.admit(m.nodes[label], machine, Amount{GPUs: 1}) != nil {
				left++
			}
		}
		if want := max(0, 3-len(m.claims)); left != want {
			t.Fatalf("%d claims of a limit of 3: %d more are admitted, want %d", len(m.claims), left, want)
		}
		for _, w := range m.waiting {
			w.node.book.Ledger(m.team).ResolveAdmission(w.admission, Failed, nil)
		}
		m.waiting = nil
	}
}

package quota

import "testing"

// The leader's claim on a machine of its own gets no answer and is applied after
// all; before its watch shows that, its own next write changes the record, a
// guard of the first. The first claim still counts. Guards against two claims
// in a share of one.
func TestAnAppliedClaimInDoubtCountsUntilItIsRead(t *testing.T) {
	m := newShared(t, 4, "a", "b", "c") // a leads and has two, the others one
	lost := m.mustAdmit(t, "a", 0)
	handOver := m.mustAdmit(t, "a", 1) // b's machine
	m.lose(lost, false)
	m.apply(lost)
	m.deliver(handOver)
	if w := m.admit(m.nodes["a"], 0, Amount{GPUs: 1}); w != nil {
		m.deliver(w)
	}
	if m.broken != nil {
		t.Fatal(m.broken)
	}
	// Once it is read, nothing is in doubt any more.
	m.settle()
	if _, inDoubt := m.nodes["a"].book.Ledger("x").Pending(); !inDoubt.IsZero() {
		t.Fatalf("%+v stays in doubt", inDoubt)
	}
}

// Two nodes admit the last free unit in the same instant: one that leads, and one
// that takes the lead. Whichever write comes first, one unit is claimed.
func TestTheLastUnitIsAdmittedOnce(t *testing.T) {
	for _, formerFirst := range []bool{true, false} {
		m := newShared(t, 1, "a", "b")
		former := m.mustAdmit(t, "a", 0)
		m.join([]string{"a", "b"}, "b")
		next := m.nodes["b"]
		next.readTo(m.log, len(m.log))
		m.deliver(m.redistribute(next, oneUnit, false))
		latter := m.mustAdmit(t, "b", 1)
		if formerFirst {
			m.deliver(former)
			m.deliver(latter)
		} else {
			m.deliver(latter)
			m.deliver(former)
		}
		if len(m.claims) != 1 || m.broken != nil {
			t.Fatalf("%d claims, %v", len(m.claims), m.broken)
		}
	}
}

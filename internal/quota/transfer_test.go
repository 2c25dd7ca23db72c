package quota

import "testing"

// A transfer gets no answer; the giver admits on, which leaves the record as it
// is; then the transfer is applied late. Guards against claims beyond the
// giver's share: what it has offered counts while it is in doubt.
func TestATransferInDoubtCountsAgainstItsGiver(t *testing.T) {
	m := newShared(t, 4, "a", "b", "c")
	transfer := m.transfer(m.nodes["b"], "a", Amount{GPUs: 1})
	if transfer == nil || transfer.shares.Given.GPUs != 1 {
		t.Fatalf("b gives nothing: %+v", transfer)
	}
	if m.admit(m.nodes["b"], 1, Amount{GPUs: 1}) != nil {
		t.Fatal("b admits while its transfer is under way")
	}
	m.lose(transfer, false)
	if w := m.admit(m.nodes["b"], 1, Amount{GPUs: 1}); w != nil {
		m.deliver(w)
	}
	m.settle() // the transfer arrives
	if m.broken != nil {
		t.Fatal(m.broken)
	}
	shares := m.nodes["b"].book.Ledger("x").Record().Shares
	if sum := shares["a"].GPUs + shares["b"].GPUs + shares["c"].GPUs; sum != 4 {
		t.Fatalf("shares of %v after a late transfer: %v", sum, shares)
	}
}

// A transfer whose giver or taker restarts is applied as a whole or not at all.
func TestATransferAndARestart(t *testing.T) {
	for _, restarted := range []string{"a", "b", "nobody; the membership changes"} {
		for _, before := range []bool{true, false} {
			m := newShared(t, 4, "a", "b", "c")
			m.transfer(m.nodes["b"], "a", Amount{GPUs: 1})
			if !before {
				m.deliver(m.waiting[0])
			}
			if m.nodes[restarted] != nil {
				m.restart(restarted)
			} else {
				m.join([]string{"a", "c"}, "c")
				m.join([]string{"a", "b", "c"}, "b")
			}
			m.settle()
			for machine, label := range []string{"a", "b", "c", "a", "b", "c", "a"} {
				for n := m.nodes[label]; ; m.settle() {
					w := m.admit(n, machine, Amount{GPUs: 1})
					if w == nil {
						break
					}
					m.deliver(w)
				}
			}
			if len(m.claims) != 4 || m.broken != nil {
				t.Errorf("%s restarted, before the write arrived: %v: %d claims, %v", restarted, before, len(m.claims), m.broken)
			}
		}
	}
}

// Only the node that can cover the most gives, no more than it has left over,
// and no more than is lacking.
func TestWhoGivesHowMuch(t *testing.T) {
	m := newShared(t, 8, "a", "b", "c") // a has four, the others two
	m.deliver(m.mustAdmit(t, "c", 2))
	for _, n := range m.nodes {
		n.readTo(m.log, len(m.log))
	}
	if w := m.transfer(m.nodes["c"], "a", Amount{GPUs: 2}); w != nil {
		t.Errorf("c gives %+v, though b has more", w.shares.Given)
	}
	if w := m.transfer(m.nodes["a"], "a", Amount{GPUs: 2}); w != nil {
		t.Error("a gives to itself")
	}
	m.unused = Amount{GPUs: 1.5}
	if w := m.transfer(m.nodes["b"], "a", Amount{GPUs: 9}); w == nil || w.shares.Given.GPUs != 1.5 {
		t.Errorf("b, with 1.5 to spare, gives %+v", w)
	}
}

package quota

import (
	"errors"
	"math"
	"testing"
	"time"

	"wheatspur/wire"
)

// newShared is a model whose limit has been shared out to all nodes, which have
// read it.
func newShared(t *testing.T, gpus float64, nodes ...string) *model {
	t.Helper()
	m := newModel(Amount{GPUs: gpus}, nodes...)
	m.settle()
	for _, n := range m.nodes {
		if phase := n.book.Ledger(m.team).Phase(m.members.token); phase != Shared {
			t.Fatalf("the shares are %s at %s", phase, n.label)
		}
	}
	return m
}

// mustAdmit lets a node decide on a claim of one unit.
func (m *model) mustAdmit(t *testing.T, label string, machine int) *write {
	t.Helper()
	w := m.admit(m.nodes[label], machine, Amount{GPUs: 1})
	if w == nil {
		t.Fatalf("%s admits nothing on machine %d", label, machine)
	}
	return w
}

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

// The checker must see a violation: here the state service ignores guards.
func TestTheCheckerSeesAPlantedViolation(t *testing.T) {
	m := newShared(t, 4, "a", "b")
	m.unsafe = true
	stale := m.mustAdmit(t, "b", 1)
	m.restart("b")
	m.settle()
	for range 4 {
		if w := m.admit(m.nodes["a"], 0, Amount{GPUs: 1}); w != nil {
			m.deliver(w)
		}
		if w := m.admit(m.nodes["b"], 1, Amount{GPUs: 1}); w != nil {
			m.deliver(w)
		}
	}
	for range 3 {
		stale.changes[0].key += "again" // the same claim, carried out several times
		m.apply(stale)
	}
	if m.broken == nil {
		t.Fatalf("%d claims of a limit of 4 went unseen", len(m.claims))
	}
}

// What can't be read, and shares that can't be, stop the admissions, and the
// claims tell what is left once the leader has shared out anew.
func TestADamagedRecordIsNeverAdmittedFrom(t *testing.T) {
	token := uint64(1)
	for name, raw := range map[string]wire.Raw{
		"no cbor":        {0xff},
		"another type":   wire.MustMarshal([]int{1}),
		"negative share": wire.MustMarshal(Record{FencingToken: token, Shares: map[string]Share{"a": {GPUs: -1}, "b": {GPUs: 2}}}),
		"no number":      wire.MustMarshal(Record{FencingToken: token, Shares: map[string]Share{"a": {GPUs: math.NaN()}}}),
		"infinite":       wire.MustMarshal(Record{FencingToken: token, Shares: map[string]Share{"a": {GPUs: math.Inf(1)}}}),
	} {
		m := newShared(t, 4, "a", "b")
		m.deliver(m.mustAdmit(t, "b", 1))
		m.damage(raw)
		for _, n := range m.nodes {
			n.readTo(m.log, len(m.log))
			ledger := n.book.Ledger(m.team)
			if phase := ledger.Phase(token); phase != Damaged || !errors.Is(ledger.Damage(), ErrDamaged) {
				t.Errorf("%s: %s at %s, %v", name, phase, n.label, ledger.Damage())
			}
			if m.admit(n, 0, Amount{GPUs: 1}) != nil || m.admit(n, 1, Amount{GPUs: 1}) != nil {
				t.Errorf("%s: %s admits", name, n.label)
			}
		}
		freeze := m.redistribute(m.nodes["a"], none, false)
		if freeze == nil || freeze.shares.Event != Freeze {
			t.Fatalf("%s: the leader does not freeze: %+v", name, freeze)
		}
		m.settle()
		a := m.nodes["a"]
		if got := a.book.Ledger(m.team).Record(); got.Check(Team{Limit: Amount{GPUs: 4}}) != nil || got.total().GPUs != 4 || got.Shares["b"].GPUs < 1 {
			t.Errorf("%s: rebuilt as %+v", name, got)
		}
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

// Every phase allows the writes of the design note's table, and no others.
func TestPhasesAllowTheirWritesOnly(t *testing.T) {
	allowed := map[Phase]map[Event]Phase{
		Unlimited: {},
		Unshared:  {ShareOut: Shared},
		Shared:    {Freeze: Frozen, HandOver: Shared, Transfer: Shared},
		Frozen:    {ShareOut: Shared},
		OverLimit: {Freeze: Frozen},
		Damaged:   {Freeze: Frozen},
	}
	for phase, events := range allowed {
		for _, event := range []Event{ShareOut, Freeze, HandOver, Transfer} {
			next, err := phase.Next(event)
			want, ok := events[event]
			if ok != (err == nil) || ok && next != want || !ok && next != phase {
				t.Errorf("%s of shares that are %s: %s, %v", event, phase, next, err)
			}
		}
	}
}

package quota

import (
	"errors"
	"math"
	"testing"

	"wheatspur/wire"
)

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

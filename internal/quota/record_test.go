package quota

import (
	"errors"
	"math"
	"testing"

	"wheatspur/wire"
)

// A record that can't be decoded or has invalid shares stops admissions. The leader
// then computes new shares from the claims.
func TestDamagedRecordAdmitsNothingUntilRebuilt(t *testing.T) {
	token := uint64(1)
	for _, c := range []struct {
		name string
		raw  wire.Raw
	}{
		{"not CBOR", wire.Raw{0xff}},
		{"wrong type", wire.MustMarshal([]int{1})},
		{"negative share", wire.MustMarshal(Record{FencingToken: token, Shares: map[string]Share{"a": {GPUs: -1}, "b": {GPUs: 2}}})},
		{"NaN share", wire.MustMarshal(Record{FencingToken: token, Shares: map[string]Share{"a": {GPUs: math.NaN()}}})},
		{"infinite share", wire.MustMarshal(Record{FencingToken: token, Shares: map[string]Share{"a": {GPUs: math.Inf(1)}}})},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newSharedModel(t, 4, "a", "b")
			m.deliver(m.mustAdmit(t, "b", 1))
			m.storeRaw(c.raw)
			for _, n := range m.controllers {
				n.readTo(m.log, len(m.log))
				ledger := n.manager.Ledger(m.team)
				if phase := ledger.Phase(token); phase != Damaged || !errors.Is(ledger.DamageError(), ErrDamaged) {
					t.Errorf("phase %s at %s, damage %v", phase, n.label, ledger.DamageError())
				}
				if m.admit(n, 0, Amount{GPUs: 1}) != nil || m.admit(n, 1, Amount{GPUs: 1}) != nil {
					t.Errorf("%s admits work", n.label)
				}
			}
			leader := m.controllers["a"]
			freeze := m.rebalance(leader, noPendingWork, false)
			if freeze == nil || freeze.recordWrite.Event != Freeze {
				t.Fatalf("the leader does not freeze the shares: %+v", freeze)
			}
			m.converge()
			if got := leader.manager.Ledger(m.team).Record(); got.Check(Team{Limit: Amount{GPUs: 4}}) != nil || got.total().GPUs != 4 || got.Shares["b"].GPUs < 1 {
				t.Errorf("rebuilt as %+v", got)
			}
		})
	}
}

package quota

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"wheatspur/wire"
)

// TestMain sets how many histories are generated, and from which seed, so that
// the verdict is the same at every run. Flags of the command line win:
//
//	go test ./internal/quota -run EveryHistory -rapid.seed=0 -rapid.checks=100000 -rapid.steps=100
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// nodeLabels are the nodes of the generated histories.
var nodeLabels = []string{"a", "b", "c"}

// machines is how many machines the generated histories have.
const machines = 7

// history generates what happens to a model.
type history struct {
	*model
	limit Amount
}

func (h *history) node(t *rapid.T) *modelNode {
	return h.nodes[rapid.SampledFrom(nodeLabels).Draw(t, "node")]
}

func (h *history) pending(t *rapid.T) *write {
	if len(h.waiting) == 0 {
		t.Skip("nothing is under way")
	}
	return h.waiting[rapid.IntRange(0, len(h.waiting)-1).Draw(t, "write")]
}

func (h *history) admitAny(t *rapid.T) {
	amount := Amount{CPUs: float64(rapid.IntRange(0, 9).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(1, 4).Draw(t, "gpus"))}
	h.admit(h.node(t), rapid.IntRange(0, machines-1).Draw(t, "machine"), amount)
}

func (h *history) redistributeAny(t *rapid.T) {
	needs := rapid.SliceOfN(rapid.IntRange(1, 12), 0, 2).Draw(t, "pending")
	waiting := func(yield func(Amount) bool) {
		for _, gpus := range needs {
			if !yield(Amount{GPUs: float64(gpus)}) {
				return
			}
		}
	}
	h.redistribute(h.node(t), waiting, len(needs) > 0)
}

func (h *history) transferAny(t *rapid.T) {
	lack := Amount{CPUs: float64(rapid.IntRange(0, 9).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(1, 6).Draw(t, "gpus"))}
	h.transfer(h.node(t), rapid.SampledFrom(nodeLabels).Draw(t, "taker"), lack)
}

func (h *history) changeMembers(t *rapid.T) {
	nodes := nodeLabels[:rapid.IntRange(1, len(nodeLabels)).Draw(t, "members")]
	h.join(nodes, rapid.SampledFrom(nodes).Draw(t, "leader"))
}

// lower changes the team's limit at one node, as a restart with other settings.
func (h *history) lower(t *rapid.T) {
	n := h.node(t)
	n.configure(h.team, Amount{CPUs: h.limit.CPUs, GPUs: float64(rapid.IntRange(2, 12).Draw(t, "limit"))})
}

// unreadable are records that nobody may admit from.
var unreadable = []wire.Raw{
	{0xff}, {0x01}, {0x63, 'b', 'a', 'd'},
	wire.MustMarshal(map[string]any{"b": "text"}),
	wire.MustMarshal(map[string]any{"b": 1, "g": map[string]any{"a": []any{"x"}}}),
}

// damageAny stores a record that can't be read, or one that looks like a good one
// with shares that can't be.
func (h *history) damageAny(t *rapid.T) {
	if rapid.Bool().Draw(t, "readable") {
		shares := map[string]Share{}
		for _, node := range nodeLabels {
			shares[node] = Share{GPUs: float64(rapid.IntRange(-20, 20).Draw(t, "share"))}
		}
		shares["a"] = Share{GPUs: 40}
		h.damage(wire.MustMarshal(Record{FencingToken: h.members.token, Shares: shares}))
		return
	}
	h.damage(rapid.SampledFrom(unreadable).Draw(t, "raw"))
}

// calm lets every write under way arrive, every node read and the leader share
// out, so that histories get to the states in which work is admitted.
func (h *history) calm(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		for len(h.waiting) > 0 {
			h.deliver(h.waiting[0])
		}
		for _, n := range h.nodes {
			n.readTo(h.log, len(h.log))
		}
		h.redistribute(h.nodes[h.members.leader], none, false)
	}
}

// seldom is for actions that most histories have few of.
func seldom(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "seldom") != 0 {
		t.Skip("not this time")
	}
}

func (h *history) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"redistribute": h.redistributeAny,
		"transfer":     h.transferAny,
		"transfer 2":   h.transferAny,
		"deliver":      func(t *rapid.T) { h.deliver(h.pending(t)) },
		"lose":         func(t *rapid.T) { h.lose(h.pending(t), rapid.Bool().Draw(t, "applied")) },
		"late": func(t *rapid.T) {
			if len(h.late) == 0 {
				t.Skip("nothing is late")
			}
			i := rapid.IntRange(0, len(h.late)-1).Draw(t, "late write")
			h.apply(h.late[i]) // it stays: a repeat must do nothing
		},
		"release": func(t *rapid.T) {
			if len(h.claims) == 0 {
				t.Skip("nothing is claimed")
			}
			h.release(rapid.SampledFrom(h.keys()).Draw(t, "claim"))
		},
		"read": func(t *rapid.T) {
			n := h.node(t)
			n.readTo(h.log, rapid.IntRange(n.read, len(h.log)).Draw(t, "up to"))
		},
		"calm":    h.calm,
		"restart": func(t *rapid.T) { seldom(t); h.restart(h.node(t).label) },
		"members": func(t *rapid.T) { seldom(t); h.changeMembers(t) },
		"damage":  func(t *rapid.T) { seldom(t); h.damageAny(t) },
		"limit":   func(t *rapid.T) { seldom(t); h.lower(t) },
		"": func(t *rapid.T) {
			if h.broken != nil {
				t.Fatal(h.broken)
			}
		},
	}
	// rapid chooses among the names: what is to happen often has several.
	for _, copyOf := range []string{"admit 1", "admit 2", "admit 3", "admit 4", "admit 5"} {
		actions[copyOf] = h.admitAny
	}
	return actions
}

// Whatever order writes arrive in, whatever is lost, late, restarted, damaged or
// lowered: claims never exceed the limit that they were decided under, nor a
// node's share. Once all is calm, the whole limit can be used again.
func TestLimitHoldsInEveryHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amount{GPUs: float64(rapid.IntRange(3, 12).Draw(t, "limit"))}
		if rapid.Bool().Draw(t, "cpus too") {
			limit.CPUs = float64(rapid.IntRange(5, 30).Draw(t, "cpu limit"))
		}
		h := &history{newModel(limit, nodeLabels...), limit}
		t.Repeat(h.actions())
		h.join(nodeLabels, "a")
		for _, n := range h.nodes {
			n.configure(h.team, limit)
		}
		h.settle()
		for _, key := range h.keys() {
			h.release(key)
		}
		h.settle()
		if h.broken != nil {
			t.Fatal(h.broken)
		}
		var left Amount
		for _, n := range h.nodes {
			a := n.book.Ledger(h.team).Allowance(n.view(h.team), Amount{}, Amount{1, 1})
			left = left.Add(a.Left[n.label])
		}
		if free := limit.Sub(left).onlyLimited(limit); !free.IsZero() {
			t.Fatalf("%+v of %+v can't be used once all is calm", free, limit)
		}
	})
}

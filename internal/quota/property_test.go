package quota

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"wheatspur/wire"
)

// TestMain sets how many histories are generated, and the seed, so that every run
// gives the same result. Flags on the command line take precedence:
//
//	go test ./internal/quota -run EveryHistory -rapid.seed=0 -rapid.checks=100000 -rapid.steps=100
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// controllerLabels are the labels of the controllers in the generated histories.
var controllerLabels = []string{"a", "b", "c"}

// machineCount is the number of machines in the generated histories.
const machineCount = 7

// history generates random events on a model. Each draw method draws one event.
type history struct {
	*model
	limit Amount
}

func (h *history) drawController(t *rapid.T) *modelController {
	return h.controllers[rapid.SampledFrom(controllerLabels).Draw(t, "controller")]
}

func (h *history) drawInFlight(t *rapid.T) *write {
	if len(h.inFlight) == 0 {
		t.Skip("no write is in flight")
	}
	return h.inFlight[rapid.IntRange(0, len(h.inFlight)-1).Draw(t, "write")]
}

func (h *history) drawAdmission(t *rapid.T) {
	amount := Amount{CPUs: float64(rapid.IntRange(0, 9).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(1, 4).Draw(t, "gpus"))}
	h.admit(h.drawController(t), rapid.IntRange(0, machineCount-1).Draw(t, "machine"), amount)
}

func (h *history) drawRebalance(t *rapid.T) {
	needs := rapid.SliceOfN(rapid.IntRange(1, 12), 0, 2).Draw(t, "pending")
	pending := func(yield func(Amount) bool) {
		for _, gpus := range needs {
			if !yield(Amount{GPUs: float64(gpus)}) {
				return
			}
		}
	}
	h.rebalance(h.drawController(t), pending, len(needs) > 0)
}

func (h *history) drawTransfer(t *rapid.T) {
	shortfall := Amount{CPUs: float64(rapid.IntRange(0, 9).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(1, 6).Draw(t, "gpus"))}
	h.transfer(h.drawController(t), rapid.SampledFrom(controllerLabels).Draw(t, "recipient"), shortfall)
}

func (h *history) drawMembership(t *rapid.T) {
	members := controllerLabels[:rapid.IntRange(1, len(controllerLabels)).Draw(t, "members")]
	h.setMembership(members, rapid.SampledFrom(members).Draw(t, "leader"))
}

// drawLimit changes the team's limit at one controller, as a restart with changed
// settings does.
func (h *history) drawLimit(t *rapid.T) {
	n := h.drawController(t)
	n.configure(h.team, Amount{CPUs: h.limit.CPUs, GPUs: float64(rapid.IntRange(2, 12).Draw(t, "limit"))})
}

// unreadableRecords are records that no controller may admit from.
var unreadableRecords = []wire.Raw{
	{0xff}, {0x01}, {0x63, 'b', 'a', 'd'},
	wire.MustMarshal(map[string]any{"b": "text"}),
	wire.MustMarshal(map[string]any{"b": 1, "g": map[string]any{"a": []any{"x"}}}),
}

// drawDamage stores a record that can't be decoded, or one that is well-formed but has
// invalid shares.
func (h *history) drawDamage(t *rapid.T) {
	if rapid.Bool().Draw(t, "readable") {
		shares := map[string]Share{}
		for _, label := range controllerLabels {
			shares[label] = Share{GPUs: float64(rapid.IntRange(-20, 20).Draw(t, "share"))}
		}
		shares["a"] = Share{GPUs: 40}
		h.storeRaw(wire.MustMarshal(Record{FencingToken: h.membership.token, Shares: shares}))
		return
	}
	h.storeRaw(rapid.SampledFrom(unreadableRecords).Draw(t, "raw"))
}

// quiesce lets every write in flight arrive, every controller read all changes and the
// leader divide the limit, so that histories reach the states in which work is admitted.
func (h *history) quiesce(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		h.deliverAll()
		h.readAll()
		h.rebalance(h.controllers[h.membership.leader], noPendingWork, false)
	}
}

// rarely skips most draws of an action that should be rare in a history.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rarely") != 0 {
		t.Skip("rare action not drawn")
	}
}

// actions returns the events of a history. rapid draws from the names in sorted order,
// so a name that changes this order gives other histories for the same seed.
func (h *history) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"redistribute":  h.drawRebalance,
		"transfer":      h.drawTransfer,
		"transfer 2":    h.drawTransfer,
		"deliver":       func(t *rapid.T) { h.deliver(h.drawInFlight(t)) },
		"lose response": func(t *rapid.T) { h.loseResponse(h.drawInFlight(t), rapid.Bool().Draw(t, "applied")) },
		"late delivery": func(t *rapid.T) {
			if len(h.abandoned) == 0 {
				t.Skip("no write is late")
			}
			i := rapid.IntRange(0, len(h.abandoned)-1).Draw(t, "late write")
			h.applyWrite(h.abandoned[i]) // the write stays abandoned: applying it again must have no effect
		},
		"release": func(t *rapid.T) {
			if len(h.claims) == 0 {
				t.Skip("no claim is stored")
			}
			h.release(rapid.SampledFrom(h.claimKeys()).Draw(t, "claim"))
		},
		"read": func(t *rapid.T) {
			n := h.drawController(t)
			n.readTo(h.log, rapid.IntRange(n.readCount, len(h.log)).Draw(t, "up to"))
		},
		"catch up": h.quiesce,
		"restart":  func(t *rapid.T) { rarely(t); h.restart(h.drawController(t).label) },
		"members":  func(t *rapid.T) { rarely(t); h.drawMembership(t) },
		"damage":   func(t *rapid.T) { rarely(t); h.drawDamage(t) },
		"limit":    func(t *rapid.T) { rarely(t); h.drawLimit(t) },
		"": func(t *rapid.T) {
			if h.violation != nil {
				t.Fatal(h.violation)
			}
		},
	}
	// The library rapid draws every name with the same probability, so admissions have
	// several names in order to be drawn more often.
	for _, name := range []string{"admit 1", "admit 2", "admit 3", "admit 4", "admit 5"} {
		actions[name] = h.drawAdmission
	}
	return actions
}

// Writes arrive in any order, responses are lost, writes are applied late, controllers
// restart, and records are damaged or limits lowered. Claims must never exceed the limit
// that they were decided under, nor a controller's share. Once nothing is in flight, the
// whole limit must be usable again.
func TestLimitHoldsInEveryHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amount{GPUs: float64(rapid.IntRange(3, 12).Draw(t, "limit"))}
		if rapid.Bool().Draw(t, "cpus too") {
			limit.CPUs = float64(rapid.IntRange(5, 30).Draw(t, "cpu limit"))
		}
		h := &history{newModel(limit, controllerLabels...), limit}
		t.Repeat(h.actions())
		h.setMembership(controllerLabels, "a")
		for _, n := range h.controllers {
			n.configure(h.team, limit)
		}
		h.converge()
		for _, key := range h.claimKeys() {
			h.release(key)
		}
		h.converge()
		if h.violation != nil {
			t.Fatal(h.violation)
		}
		var left Amount
		for _, n := range h.controllers {
			a := n.manager.Ledger(h.team).Allowance(n.view(h.team), Amount{}, Amount{1, 1})
			left = left.Add(a.Remaining[n.label])
		}
		if free := limit.Sub(left).maskUnlimited(limit); !free.IsZero() {
			t.Fatalf("%+v of %+v is not usable although nothing is in flight", free, limit)
		}
	})
}

package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// apply enters writes as the state service would tell of them.
func apply(t *testing.T, g *Register, list []Write) {
	t.Helper()
	for _, w := range list {
		var raw wire.Raw
		if w.V != nil {
			raw = wire.MustMarshal(w.V)
		}
		if err := g.Apply(w.Key, raw); err != nil {
			t.Fatal(err)
		}
	}
}

func rec(machineType string) Record {
	return Record{MachineType: machineType, Zone: "a-zone-with-a-long-name", Role: place.Batch, Phase: In}
}

func TestMachinesShareKeysAndStayBelowTheValueLimit(t *testing.T) {
	limit := 4096
	g := NewRegister()
	var joins []Change
	for i := range 2500 {
		r := rec("a-type")
		joins = append(joins, Change{Host: fmt.Sprintf("host-%06d", i), Now: &r})
	}
	first := g.Writes(joins, nil, int(float64(limit)*tuning.GroupShare), 12)
	if len(first) > 2500/16 {
		t.Fatalf("%d changes for 2500 machines", len(first))
	}
	apply(t, g, first)
	if len(g.Hosts) != 2500 {
		t.Fatalf("%d machines are known", len(g.Hosts))
	}
	// All get the longest reason that there may be.
	var drains []Change
	for host, r := range g.Hosts {
		d := r
		d.Phase, d.Role = Returned, place.Service
		for len(d.Why) < 3*whyMax {
			d.Why += "because "
		}
		drains = append(drains, Change{Host: host, Was: &r, Now: &d})
	}
	keys := map[string]string{}
	for host := range g.Hosts {
		keys[host] = g.Key(host)
	}
	apply(t, g, g.Writes(drains, nil, int(float64(limit)*tuning.GroupShare), 12))
	for host, key := range keys {
		if g.Key(host) != key || g.Hosts[host].Phase != Returned {
			t.Fatalf("%s left its key or was not changed", host)
		}
	}
	for key := range g.groups {
		all := map[string]map[string]any{}
		for host := range g.groups[key] {
			r := g.Hosts[host]
			all[host] = map[string]any{"r": r.MachineType, "z": r.Zone, "s": r.Spot, "o": r.Role, "p": r.Phase, "w": r.Why}
		}
		if b, _ := json.Marshal(map[string]any{"m": all}); len(b) > limit {
			t.Fatalf("%s holds %d bytes", key, len(b))
		}
	}
	var drops []Change
	for host, r := range g.Hosts {
		drops = append(drops, Change{Host: host, Was: &r})
	}
	for _, w := range g.Writes(drops, nil, int(float64(limit)*tuning.GroupShare), 12) {
		if w.V != nil {
			t.Fatalf("%s stays with %d machines", w.Key, len(w.V.Machines))
		}
	}
}

// Two parts of the leader decide on the same machine; what was decided on an
// older record must not undo what was stored since.
func TestAChangeDecidedOnAnOldRecordIsLeftOut(t *testing.T) {
	g := NewRegister()
	r := rec("g")
	apply(t, g, g.Writes([]Change{{Host: "h1", Now: &r}}, nil, 4096, 12))
	returned, moved := r, r
	returned.Phase, moved.Role = Returned, place.Service
	apply(t, g, g.Writes([]Change{{Host: "h1", Was: &r, Now: &returned}}, nil, 4096, 12))
	if w := g.Writes([]Change{{Host: "h1", Was: &r, Now: &moved}, {Host: "h1", Now: &r}}, nil, 4096, 12); len(w) != 0 {
		t.Fatalf("an old decision is written: %+v", w)
	}
}

func TestRecordsOfTheEarlierLayoutAreReadAndMoveIntoAGroup(t *testing.T) {
	g := NewRegister()
	r := rec("g")
	if err := g.Apply(HostPrefix+"h1", wire.MustMarshal(r)); err != nil || g.Hosts["h1"] != r || g.Key("h1") != HostPrefix+"h1" {
		t.Fatalf("%v %v", g.Hosts, err)
	}
	d := r
	d.Phase = Draining
	writes := g.Writes([]Change{{Host: "h1", Was: &r, Now: &d}}, nil, 4096, 12)
	if len(writes) != 2 || writes[0].V == nil || writes[1].Key != HostPrefix+"h1" {
		t.Fatalf("%+v: the new key is to stand before the old one goes", writes)
	}
	apply(t, g, writes[:1])
	// A node that reads both, in any order, takes the newer.
	if err := g.Apply(HostPrefix+"h1", wire.MustMarshal(r)); err != nil || g.Hosts["h1"].Phase != Draining {
		t.Fatal("the former key hides the new one")
	}
	apply(t, g, writes[1:])
	if g.Hosts["h1"].Phase != Draining || g.Key("h1") != GroupKey(0) {
		t.Fatalf("%v at %s", g.Hosts, g.Key("h1"))
	}
	if err := g.Apply(GroupKey(1), wire.Raw{0xff}); err == nil {
		t.Fatal("nonsense was read")
	}
}

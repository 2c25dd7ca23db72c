package quota

import (
	"errors"
	"testing"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// newReservingManager is a manager of two teams with guarantees and one without.
func newReservingManager() *Manager {
	return NewManager([]Team{
		{Name: "x", Guarantee: Amount{GPUs: 8}},
		{Name: "y", Guarantee: Amount{CPUs: 10, GPUs: 16}},
		{Name: "z"},
	}, Options{Reservations: true})
}

// storeReservations carries a decision out and lets the manager read it.
func storeReservations(t *testing.T, m *Manager, decided *Reservations) {
	t.Helper()
	if decided == nil {
		t.Fatal("nothing is to be stored")
	}
	if err := m.ApplyReservations(wire.MustMarshal(*decided)); err != nil {
		t.Fatal(err)
	}
	m.ReservationsWritten()
}

// A wait is stored once it has lasted, keeps its beginning while its amount
// changes or a new leader goes on, and is dropped some time after its end.
func TestReservationKeepsTheStartOfItsWaitAcrossFailover(t *testing.T) {
	m, begin := newReservingManager(), time.UnixMilli(1_000_000)
	shortfalls := map[string]Amount{"x": {GPUs: 3}, "z": {GPUs: 5}}
	if m.Reserve(begin, shortfalls) != nil {
		t.Fatal("a wait that has just begun is stored")
	}
	now := begin.Add(tuning.ReserveAfter)
	decided := m.Reserve(now, shortfalls)
	if m.Reserve(now.Add(time.Minute), shortfalls) != nil {
		t.Fatal("decided again while the write is under way")
	}
	storeReservations(t, m, decided)
	if r, ok := m.Reserved("x"); !ok || r.Since != begin.UnixMilli() || r.GPUs != 3 {
		t.Fatalf("stored %+v", r)
	}
	if _, ok := m.Reserved("z"); ok {
		t.Fatal("a team without a guarantee has a reservation")
	}

	// A new leader knows nothing but the record; the amount has doubled.
	next := newReservingManager()
	if err := next.ApplyReservations(wire.MustMarshal(*decided)); err != nil {
		t.Fatal(err)
	}
	shortfalls["x"] = Amount{GPUs: 4}
	if next.Reserve(now, shortfalls) != nil {
		t.Fatal("a small change of the amount is stored")
	}
	shortfalls["x"] = Amount{GPUs: 6}
	storeReservations(t, next, next.Reserve(now.Add(tuning.ReservePause), shortfalls))
	if r, _ := next.Reserved("x"); r.Since != begin.UnixMilli() || r.GPUs != 6 {
		t.Fatalf("a new leader stored %+v", r)
	}
	if !next.MayReclaim("x", begin.Add(tuning.GuaranteePreemptAfter+time.Second)) || next.MayReclaim("x", begin.Add(tuning.GuaranteePreemptAfter-time.Second)) {
		t.Fatal("the wait counts from another time")
	}

	// A moment without need is not the end.
	now = now.Add(20 * time.Second)
	for _, after := range []time.Duration{0, tuning.ReserveHold / 2} {
		if next.Reserve(now.Add(after), nil) != nil {
			t.Fatal("dropped at once")
		}
	}
	if next.Reserve(now.Add(tuning.ReserveHold*3/4), shortfalls) != nil {
		t.Fatal("the same need again is stored")
	}
	now = now.Add(time.Minute)
	_ = next.Reserve(now, nil) // the wait ends
	storeReservations(t, next, next.Reserve(now.Add(tuning.ReserveHold), nil))
	if _, ok := next.Reserved("x"); ok {
		t.Fatal("it stays when nothing lacks room")
	}
}

// A guarantee that operators take away takes its reservation along.
func TestReservationEndsWithItsGuarantee(t *testing.T) {
	m, now := newReservingManager(), time.UnixMilli(1_000_000)
	_ = m.Reserve(now, map[string]Amount{"y": {GPUs: 1}}) // the wait begins
	storeReservations(t, m, m.Reserve(now.Add(tuning.ReserveAfter), map[string]Amount{"y": {GPUs: 1}}))
	m.Configure([]Team{{Name: "x", Guarantee: Amount{GPUs: 8}}, {Name: "y"}}, Options{Reservations: true})
	storeReservations(t, m, m.Reserve(now.Add(time.Minute), nil))
	if _, ok := m.Reserved("y"); ok {
		t.Fatal("it stays")
	}
}

// Guarantees beyond what the fleet holds are cut in equal parts, once it is shown
// that the fleet does not grow.
func TestGuaranteesBeyondTheFleetAreScaledEqually(t *testing.T) {
	m, begin := newReservingManager(), time.UnixMilli(1_000_000)
	fleet := func() Amount { return Amount{CPUs: 100, GPUs: 12} }
	late := begin.Add(tuning.GuaranteePreemptAfter + time.Minute)
	if scale := m.Scale(fleet, late); scale != (Amount{1, 1}) {
		t.Fatalf("scale %+v though nobody waits", scale)
	}
	_ = m.Reserve(begin, map[string]Amount{"x": {GPUs: 8}}) // the wait begins
	storeReservations(t, m, m.Reserve(begin.Add(tuning.ReserveAfter), map[string]Amount{"x": {GPUs: 8}}))
	if scale := m.Scale(fleet, begin.Add(time.Minute)); scale != (Amount{1, 1}) {
		t.Fatalf("scale %+v while the fleet may grow", scale)
	}
	scale := m.Scale(fleet, late)
	if scale != (Amount{1, 0.5}) {
		t.Fatalf("scale %+v for guarantees of %+v and a fleet of %+v", scale, m.TotalGuarantees(), fleet())
	}
	y := m.Ledger("y").Allowance(View{}, Amount{GPUs: 9}, scale)
	if y.WithinGuarantee(y.Used) || !y.WithinGuarantee(Amount{GPUs: 8}) {
		t.Fatalf("half of a guarantee of 16: %+v", y)
	}
}

// Reservations that can't be read, or can't be, count as none and end nothing.
func TestDamagedReservationsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  wire.Raw
		want error // nil: any
	}{
		{"no cbor", wire.Raw{0xff}, nil},
		{"a list", wire.MustMarshal([]int{1}), nil},
		{"negative", wire.MustMarshal(Reservations{Teams: map[string]Reservation{"x": {GPUs: -1, Since: 1}}}), ErrDamaged},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newReservingManager()
			err := m.ApplyReservations(c.raw)
			if err == nil || m.MayReclaim("x", time.Now()) {
				t.Error(err)
			}
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

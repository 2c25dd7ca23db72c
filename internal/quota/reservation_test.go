package quota

import (
	"errors"
	"testing"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// newReservingManager returns a manager of two teams with guarantees and one without.
func newReservingManager() *Manager {
	return NewManager([]Team{
		{Name: "x", Guarantee: Amount{GPUs: 8}},
		{Name: "y", Guarantee: Amount{CPUs: 10, GPUs: 16}},
		{Name: "z"},
	}, Options{Reservations: true})
}

// storeReservations stores the decided reservations and lets the manager read them.
func storeReservations(t *testing.T, m *Manager, decided *Reservations) {
	t.Helper()
	if decided == nil {
		t.Fatal("no reservations to store")
	}
	if err := m.ApplyReservations(wire.MustMarshal(*decided)); err != nil {
		t.Fatal(err)
	}
	m.ResolveReservationsWrite()
}

// A reservation is stored once a wait has lasted. It keeps the start of the wait when
// its amount changes or a new leader takes over, and is dropped some time after the
// wait ends.
func TestReservationKeepsTheStartOfItsWaitAcrossFailover(t *testing.T) {
	m, begin := newReservingManager(), time.UnixMilli(1_000_000)
	shortfalls := map[string]Amount{"x": {GPUs: 3}, "z": {GPUs: 5}}
	if m.PlanReservations(begin, shortfalls) != nil {
		t.Fatal("a wait that has just begun is stored")
	}
	now := begin.Add(tuning.ReserveAfter)
	decided := m.PlanReservations(now, shortfalls)
	if m.PlanReservations(now.Add(time.Minute), shortfalls) != nil {
		t.Fatal("decided again while the write is in flight")
	}
	storeReservations(t, m, decided)
	if r, ok := m.Reserved("x"); !ok || r.Since != begin.UnixMilli() || r.GPUs != 3 {
		t.Fatalf("stored %+v", r)
	}
	if _, ok := m.Reserved("z"); ok {
		t.Fatal("a team without a guarantee has a reservation")
	}

	// A new leader knows only the stored record. The amount changes, then doubles.
	next := newReservingManager()
	if err := next.ApplyReservations(wire.MustMarshal(*decided)); err != nil {
		t.Fatal(err)
	}
	shortfalls["x"] = Amount{GPUs: 4}
	if next.PlanReservations(now, shortfalls) != nil {
		t.Fatal("a small change of the amount is stored")
	}
	shortfalls["x"] = Amount{GPUs: 6}
	storeReservations(t, next, next.PlanReservations(now.Add(tuning.ReservePause), shortfalls))
	if r, _ := next.Reserved("x"); r.Since != begin.UnixMilli() || r.GPUs != 6 {
		t.Fatalf("a new leader stored %+v", r)
	}
	if !next.MayReclaim("x", begin.Add(tuning.GuaranteePreemptAfter+time.Second)) || next.MayReclaim("x", begin.Add(tuning.GuaranteePreemptAfter-time.Second)) {
		t.Fatal("the wait does not count from its start")
	}

	// A short time without a shortfall does not end the wait.
	now = now.Add(20 * time.Second)
	for _, after := range []time.Duration{0, tuning.ReserveHold / 2} {
		if next.PlanReservations(now.Add(after), nil) != nil {
			t.Fatal("the reservation is dropped too early")
		}
	}
	if next.PlanReservations(now.Add(tuning.ReserveHold*3/4), shortfalls) != nil {
		t.Fatal("an unchanged shortfall is stored again")
	}
	now = now.Add(time.Minute)
	_ = next.PlanReservations(now, nil) // the wait ends
	storeReservations(t, next, next.PlanReservations(now.Add(tuning.ReserveHold), nil))
	if _, ok := next.Reserved("x"); ok {
		t.Fatal("the reservation remains although no work lacks capacity")
	}
}

// Removing a team's guarantee drops its reservation.
func TestReservationEndsWithItsGuarantee(t *testing.T) {
	m, now := newReservingManager(), time.UnixMilli(1_000_000)
	_ = m.PlanReservations(now, map[string]Amount{"y": {GPUs: 1}}) // the wait begins
	storeReservations(t, m, m.PlanReservations(now.Add(tuning.ReserveAfter), map[string]Amount{"y": {GPUs: 1}}))
	m.Configure([]Team{{Name: "x", Guarantee: Amount{GPUs: 8}}, {Name: "y"}}, Options{Reservations: true})
	storeReservations(t, m, m.PlanReservations(now.Add(time.Minute), nil))
	if _, ok := m.Reserved("y"); ok {
		t.Fatal("the reservation remains")
	}
}

// Guarantees that exceed the fleet's capacity are scaled down by the same factor for
// all teams, once a team has waited so long that the fleet is known not to grow.
func TestGuaranteesBeyondTheFleetAreScaledEqually(t *testing.T) {
	m, begin := newReservingManager(), time.UnixMilli(1_000_000)
	fleet := func() Amount { return Amount{CPUs: 100, GPUs: 12} }
	late := begin.Add(tuning.GuaranteePreemptAfter + time.Minute)
	if scale := m.GuaranteeScale(fleet, late); scale != (Amount{1, 1}) {
		t.Fatalf("scale %+v although no team waits", scale)
	}
	_ = m.PlanReservations(begin, map[string]Amount{"x": {GPUs: 8}}) // the wait begins
	storeReservations(t, m, m.PlanReservations(begin.Add(tuning.ReserveAfter), map[string]Amount{"x": {GPUs: 8}}))
	if scale := m.GuaranteeScale(fleet, begin.Add(time.Minute)); scale != (Amount{1, 1}) {
		t.Fatalf("scale %+v while the fleet may grow", scale)
	}
	scale := m.GuaranteeScale(fleet, late)
	if scale != (Amount{1, 0.5}) {
		t.Fatalf("scale %+v for guarantees of %+v and a fleet of %+v", scale, m.TotalGuarantees(), fleet())
	}
	y := m.Ledger("y").Allowance(View{}, Amount{GPUs: 9}, scale)
	if y.WithinGuarantee(y.Used) || !y.WithinGuarantee(Amount{GPUs: 8}) {
		t.Fatalf("half of a guarantee of 16: %+v", y)
	}
}

// Reservations that can't be decoded or are invalid count as none.
func TestDamagedReservationsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  wire.Raw
		want error // nil: any
	}{
		{"not CBOR", wire.Raw{0xff}, nil},
		{"wrong type", wire.MustMarshal([]int{1}), nil},
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

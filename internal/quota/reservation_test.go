package quota

import (
	"errors"
	"testing"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// reserving is a book of two teams with guarantees and one without.
func reserving() *Manager {
	return NewManager([]Team{
		{Name: "x", Guarantee: Amount{GPUs: 8}},
		{Name: "y", Guarantee: Amount{CPUs: 10, GPUs: 16}},
		{Name: "z"},
	}, Options{Reservations: true})
}

// store carries a decision out and lets the book read it.
func (b *Manager) store(t *testing.T, r *Reservations) {
	t.Helper()
	if r == nil {
		t.Fatal("nothing is to be stored")
	}
	if err := b.ApplyReservations(wire.MustMarshal(*r)); err != nil {
		t.Fatal(err)
	}
	b.ReservationsWritten()
}

// A wait is stored once it has lasted, keeps its beginning while its amount
// changes or a new leader goes on, and is dropped some time after its end.
func TestAReservationKeepsTheBeginningOfItsWait(t *testing.T) {
	b, begin := reserving(), time.UnixMilli(1_000_000)
	short := map[string]Amount{"x": {GPUs: 3}, "z": {GPUs: 5}}
	if b.Reserve(begin, short) != nil {
		t.Fatal("a wait that has just begun is stored")
	}
	now := begin.Add(tuning.ReserveAfter)
	decided := b.Reserve(now, short)
	if b.Reserve(now.Add(time.Minute), short) != nil {
		t.Fatal("decided again while the write is under way")
	}
	b.store(t, decided)
	if r, ok := b.Reserved("x"); !ok || r.Since != begin.UnixMilli() || r.GPUs != 3 {
		t.Fatalf("stored %+v", r)
	}
	if _, ok := b.Reserved("z"); ok {
		t.Fatal("a team without a guarantee has a reservation")
	}

	// A new leader knows nothing but the record; the amount has doubled.
	next := reserving()
	if err := next.ApplyReservations(wire.MustMarshal(*decided)); err != nil {
		t.Fatal(err)
	}
	short["x"] = Amount{GPUs: 4}
	if next.Reserve(now, short) != nil {
		t.Fatal("a small change of the amount is stored")
	}
	short["x"] = Amount{GPUs: 6}
	next.store(t, next.Reserve(now.Add(tuning.ReservePause), short))
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
	if next.Reserve(now.Add(tuning.ReserveHold*3/4), short) != nil {
		t.Fatal("the same need again is stored")
	}
	now = now.Add(time.Minute)
	_ = next.Reserve(now, nil)
	next.store(t, next.Reserve(now.Add(tuning.ReserveHold), nil))
	if _, ok := next.Reserved("x"); ok {
		t.Fatal("it stays when nothing lacks room")
	}
}

// A guarantee that operators take away takes its reservation along.
func TestAReservationEndsWithItsGuarantee(t *testing.T) {
	b, now := reserving(), time.UnixMilli(1_000_000)
	_ = b.Reserve(now, map[string]Amount{"y": {GPUs: 1}})
	b.store(t, b.Reserve(now.Add(tuning.ReserveAfter), map[string]Amount{"y": {GPUs: 1}}))
	b.Configure([]Team{{Name: "x", Guarantee: Amount{GPUs: 8}}, {Name: "y"}}, Options{Reservations: true})
	b.store(t, b.Reserve(now.Add(time.Minute), nil))
	if _, ok := b.Reserved("y"); ok {
		t.Fatal("it stays")
	}
}

// Guarantees beyond what the fleet holds are cut in equal parts, once it is shown
// that the fleet does not grow.
func TestGuaranteesBeyondTheFleetAreSharedInEqualParts(t *testing.T) {
	b, begin := reserving(), time.UnixMilli(1_000_000)
	fleet := func() Amount { return Amount{CPUs: 100, GPUs: 12} }
	late := begin.Add(tuning.GuaranteePreemptAfter + time.Minute)
	if scale := b.Scale(fleet, late); scale != (Amount{1, 1}) {
		t.Fatalf("scale %+v though nobody waits", scale)
	}
	_ = b.Reserve(begin, map[string]Amount{"x": {GPUs: 8}})
	b.store(t, b.Reserve(begin.Add(tuning.ReserveAfter), map[string]Amount{"x": {GPUs: 8}}))
	if scale := b.Scale(fleet, begin.Add(time.Minute)); scale != (Amount{1, 1}) {
		t.Fatalf("scale %+v while the fleet may grow", scale)
	}
	scale := b.Scale(fleet, late)
	if scale != (Amount{1, 0.5}) {
		t.Fatalf("scale %+v for guarantees of %+v and a fleet of %+v", scale, b.TotalGuarantees(), fleet())
	}
	y := b.Ledger("y").Allowance(View{}, Amount{GPUs: 9}, scale)
	if y.WithinGuarantee(y.Used) || !y.WithinGuarantee(Amount{GPUs: 8}) {
		t.Fatalf("half of a guarantee of 16: %+v", y)
	}
}

// What can't be read, or can't be, counts as no reservation and ends nothing.
func TestDamagedReservationsCountAsNone(t *testing.T) {
	for name, raw := range map[string]wire.Raw{
		"no cbor":  {0xff},
		"a list":   wire.MustMarshal([]int{1}),
		"negative": wire.MustMarshal(Reservations{Teams: map[string]Reservation{"x": {GPUs: -1, Since: 1}}}),
	} {
		b := reserving()
		err := b.ApplyReservations(raw)
		if err == nil || b.MayReclaim("x", time.Now()) {
			t.Errorf("%s: %v", name, err)
		}
		if name == "negative" && !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

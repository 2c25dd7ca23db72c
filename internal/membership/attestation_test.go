package membership

import (
	"testing"
	"time"
)

func at(second int) time.Time { return time.Unix(int64(1000+second), 0) }

// Attestations count only if every sibling gives one, in the incarnation that it had before
// the last read, and knows no cancellation that is missing from the cache.
func TestCancellationsKnownUntilEarliestAttestation(t *testing.T) {
	attested := func(asked int) Attestation {
		return Attestation{Incarnation: 7, FirstAnsweredAt: at(0), AskedAt: at(asked), LastCancellation: 40}
	}
	modified := func(a Attestation, change func(*Attestation)) Attestation { change(&a); return a }
	for _, c := range []struct {
		name     string
		siblings []Attestation
		want     int
	}{
		{"no siblings", nil, 10},
		{"all attest: time of the earliest request", []Attestation{attested(50), attested(30)}, 30},
		{"one has never answered", []Attestation{attested(50), {}}, 10},
		{"one first answered after the read", []Attestation{attested(50), modified(attested(50), func(a *Attestation) { a.FirstAnsweredAt = at(10) })}, 10},
		{"one knows a cancellation that is not in the cache", []Attestation{attested(50), modified(attested(50), func(a *Attestation) { a.LastCancellation = 51 })}, 10},
		{"one knows a cancellation at the last cached revision", []Attestation{attested(50), modified(attested(50), func(a *Attestation) { a.LastCancellation = 50 })}, 50},
		{"asked before the read", []Attestation{attested(50), attested(5)}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := CancellationsKnownUntil(at(10), 50, c.siblings); !got.Equal(at(c.want)) {
				t.Errorf("%v, want %ds", got.Sub(at(0)), c.want)
			}
		})
	}
}

func TestAttestationUpdate(t *testing.T) {
	first := Attestation{}.Update(7, 40, at(1), at(2))
	for _, c := range []struct {
		name string
		got  Attestation
		want Attestation
	}{
		{"first answer", first, Attestation{Incarnation: 7, FirstAnsweredAt: at(2), AskedAt: at(1), LastCancellation: 40}},
		{"an older answer moves nothing back", first.Update(7, 30, at(0), at(3)), first},
		{"a new incarnation replaces the attestation", first.Update(8, 0, at(4), at(5)), Attestation{Incarnation: 8, FirstAnsweredAt: at(5), AskedAt: at(4)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("%+v, want %+v", c.got, c.want)
			}
		})
	}
}

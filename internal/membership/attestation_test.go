package membership

import (
	"testing"
	"time"
)

// Each sibling has to attest, in the incarnation that it had before the last
// read, and for nothing that is not in the cache.
func TestCancellationsAreKnownAsFarAsAllVouch(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	good := func(asked int) Attestation {
		return Attestation{Incarnation: 7, Since: at(0), AskedAt: at(asked), LastCancellation: 40}
	}
	with := func(w Attestation, f func(*Attestation)) Attestation { f(&w); return w }
	for _, c := range []struct {
		name     string
		siblings []Attestation
		want     int
	}{
		{"nobody else", nil, 10},
		{"all attest: the least of the askings", []Attestation{good(50), good(30)}, 30},
		{"one was never heard", []Attestation{good(50), {}}, 10},
		{"one is new since the read", []Attestation{good(50), with(good(50), func(w *Attestation) { w.Since = at(10) })}, 10},
		{"one knows a cancellation that is not in the cache", []Attestation{good(50), with(good(50), func(w *Attestation) { w.LastCancellation = 51 })}, 10},
		{"the last that is", []Attestation{good(50), with(good(50), func(w *Attestation) { w.LastCancellation = 50 })}, 50},
		{"asked before the read", []Attestation{good(50), good(5)}, 10},
	} {
		if got := CancellationsKnownUntil(at(10), 50, c.siblings); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %v", c.name, got.Sub(at(0)), c.want)
		}
	}
	w := Attestation{}.Update(7, 40, at(1), at(2)).Update(7, 30, at(0), at(3))
	if w != (Attestation{7, at(2), at(1), 40}) {
		t.Errorf("an older answer took something back: %+v", w)
	}
	if w = w.Update(8, 0, at(4), at(5)); w != (Attestation{8, at(5), at(4), 0}) {
		t.Errorf("a new incarnation: %+v", w)
	}
}

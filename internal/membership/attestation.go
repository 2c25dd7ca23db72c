package membership

import "time"

// Attestation is what a node has heard of a sibling about cancellations.
type Attestation struct {
	Incarnation      uint64    // of the sibling; 0: nothing that counts
	Since            time.Time // when this incarnation was first heard
	AskedAt          time.Time // when the last asking that was answered was sent
	LastCancellation uint64    // version of the last cancellation that the sibling knew then
}

// Update is the attestation after an answer that came now to an asking sent before.
func (w Attestation) Update(incarnation, cancelled uint64, asked, now time.Time) Attestation {
	if w.Incarnation != incarnation {
		w = Attestation{Incarnation: incarnation, Since: now}
	}
	if asked.After(w.AskedAt) {
		w.AskedAt = asked
	}
	w.LastCancellation = max(w.LastCancellation, cancelled)
	return w
}

// CancellationsKnownUntil is the time up to which a node knows every cancellation that any
// user was told of: the sending of its last answered read, or the least of the
// times at which it asked its siblings, if each of them attests. revision is the
// revision to which its cache is complete. The argument is in
// docs/protocol-notes.md; a sibling that is new since the read may follow on a
// process that confirmed what nobody here has read.
func CancellationsKnownUntil(read time.Time, revision uint64, siblings []Attestation) time.Time {
	if len(siblings) == 0 {
		return read
	}
	until := siblings[0].AskedAt
	for _, w := range siblings {
		if w.Incarnation == 0 || !w.Since.Before(read) || w.LastCancellation > revision {
			return read
		}
		if w.AskedAt.Before(until) {
			until = w.AskedAt
		}
	}
	if until.Before(read) {
		return read
	}
	return until
}

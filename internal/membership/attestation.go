package membership

import "time"

// Attestation is what the answers of a sibling tell a controller about cancellations.
type Attestation struct {
	Incarnation      uint64    // of the sibling; 0 if it has given no usable answer
	FirstAnsweredAt  time.Time // when this incarnation first answered
	AskedAt          time.Time // when the newest answered request was sent
	LastCancellation uint64    // version of the last cancellation that the sibling is known to have seen
}

// Update returns the attestation after an answer that arrived at now to a request sent at
// askedAt. Answers may arrive out of order; an older one never moves a field back.
func (a Attestation) Update(incarnation, lastCancellation uint64, askedAt, now time.Time) Attestation {
	if a.Incarnation != incarnation {
		a = Attestation{Incarnation: incarnation, FirstAnsweredAt: now}
	}
	if askedAt.After(a.AskedAt) {
		a.AskedAt = askedAt
	}
	a.LastCancellation = max(a.LastCancellation, lastCancellation)
	return a
}

// attests reports whether the attestation extends what a controller knows beyond its last
// answered read, given a cache that is complete up to revision. An incarnation that first
// answered after that read does not count: its former process may have confirmed a
// cancellation that this controller has not read.
func (a Attestation) attests(lastRead time.Time, revision uint64) bool {
	return a.Incarnation != 0 && a.FirstAnsweredAt.Before(lastRead) && a.LastCancellation <= revision
}

// CancellationsKnownUntil returns the time up to which a controller knows every cancellation
// that was confirmed to a user. That is the time at which its last answered read was sent
// or, if every sibling attests and this is later, the earliest time at which it asked one
// of them. revision is the revision up to which its cache is complete. The proof is in
// docs/protocol-notes.md.
func CancellationsKnownUntil(lastRead time.Time, revision uint64, siblings []Attestation) time.Time {
	if len(siblings) == 0 {
		return lastRead
	}
	until := siblings[0].AskedAt
	for _, sibling := range siblings {
		if !sibling.attests(lastRead, revision) {
			return lastRead
		}
		if sibling.AskedAt.Before(until) {
			until = sibling.AskedAt
		}
	}
	if until.Before(lastRead) {
		return lastRead
	}
	return until
}

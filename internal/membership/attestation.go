package membership

import "time"

// Attestation is what a controller has heard of a sibling about cancellations.
type Attestation struct {
	Incarnation      uint64    // of the sibling; 0: nothing that counts
	Since            time.Time // when this incarnation was first heard
	AskedAt          time.Time // when the newest request that was answered was sent
	LastCancellation uint64    // version of the last cancellation that the sibling knew then
}

// Update is the attestation after an answer that came now to a request sent at askedAt.
// Answers may come out of order: an older one takes nothing back.
func (a Attestation) Update(incarnation, lastCancellation uint64, askedAt, now time.Time) Attestation {
	if a.Incarnation != incarnation {
		a = Attestation{Incarnation: incarnation, Since: now}
	}
	if askedAt.After(a.AskedAt) {
		a.AskedAt = askedAt
	}
	a.LastCancellation = max(a.LastCancellation, lastCancellation)
	return a
}

// attests reports whether the attestation says something beyond the last answered read,
// with a cache that is complete up to revision. A sibling that is new since the read
// may follow on a process that confirmed what nobody here has read.
func (a Attestation) attests(lastRead time.Time, revision uint64) bool {
	return a.Incarnation != 0 && a.Since.Before(lastRead) && a.LastCancellation <= revision
}

// CancellationsKnownUntil is the time up to which a controller knows every cancellation
// that any user was told of: when its last answered read was sent, or, if each of its
// siblings attests, the earliest of the times at which it asked them, if that is
// later. revision is the revision up to which its cache is complete. The argument
// is in docs/protocol-notes.md.
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

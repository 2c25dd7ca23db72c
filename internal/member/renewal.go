package member

import (
	"time"

	"wheatspur/internal/tuning"
)

// Renewal decides how long the lease of a node's session lasts. A node that was
// too busy to renew it in time asks for a longer one the next time. Guards
// against a node that loses its session again and again because it is slow, each
// time with a change of the membership that costs everybody more work.
type Renewal struct {
	ttl  time.Duration
	late time.Duration // how late the last renewal was sent
}

// NewRenewal returns the renewal of a node that has had no session yet.
func NewRenewal() Renewal { return Renewal{ttl: tuning.SessionTTL} }

// Attempted notes when a renewal was due and when it was sent.
func (r *Renewal) Attempted(due, sent time.Time) { r.late = sent.Sub(due) }

// TTL is the lease to ask for.
func (r *Renewal) TTL() time.Duration { return r.ttl }

// Ended notes that the lease has ended before it was renewed.
func (r *Renewal) Ended() {
	if r.late >= tuning.SessionLate {
		r.ttl = min(2*r.ttl, tuning.SessionTTLMost)
	} else {
		r.ttl = tuning.SessionTTL // cut off or refused, but not slow
	}
	r.late = 0
}

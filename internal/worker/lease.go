package worker

import (
	"time"

	"wheatspur/internal/tuning"
)

// LeaseRenewedAt returns an upper bound on the time from which the lease of an incarnation that has
// acknowledged our token runs: the arrival of the last heartbeat that we answered or, if later, of
// the message that acknowledged the token.
func (w *Worker) LeaseRenewedAt() time.Time {
	if w.LastAnsweredAt.After(w.AcknowledgedAt) {
		return w.LastAnsweredAt
	}
	return w.AcknowledgedAt
}

// ExpireLease records and reports whether the lease of the incarnation is proven to have expired.
// The worker must have acknowledged our token, so that only our answers renew the lease, and the
// last heartbeat that we answered must have arrived longer ago than the lease lasts, with margins
// for clock drift and late timers. The worker counts from when it sent that heartbeat, before we
// received it, so its lease has expired by the time this function reports it.
func (w *Worker) ExpireLease(now time.Time, lease time.Duration) bool {
	if w.State != TokenAcknowledged {
		return w.State == LeaseExpired
	}
	if now.Sub(w.LeaseRenewedAt()) <= time.Duration(float64(lease)*tuning.DriftFactor)+tuning.LeaseMargin {
		return false
	}
	w.State = w.State.Next(EventLeaseExpired)
	return true
}

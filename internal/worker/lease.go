package worker

import (
	"time"

	"wheatspur/internal/tuning"
)

// LeaseRenewedAt returns the latest time at which we may have renewed the lease of an incarnation
// that has acknowledged our token: the last heartbeat that we answered had arrived by then.
func (w *Worker) LeaseRenewedAt() time.Time {
	if w.LastAnswered.After(w.AcknowledgedAt) {
		return w.LastAnswered
	}
	return w.AcknowledgedAt
}

// ExpireLease records and reports whether the lease of the incarnation is proven to have expired.
// The worker must have acknowledged our token, so that only our answers renew the lease, and the
// last heartbeat that we answered must have arrived longer ago than the lease lasts, with margins
// for clock drift and late timers. The worker counts from when it sent that heartbeat, before we
// received it, so its lease expires no later than the time computed here.
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

package worker

import (
	"time"

	"wheatspur/internal/tuning"
)

// LeaseRenewedAt is the latest time at which we may have renewed the lease of
// an incarnation that has acknowledged our token: the last heartbeat that we
// answered had arrived by then.
func (w *Worker) LeaseRenewedAt() time.Time {
	if w.LastAnswered.After(w.AcknowledgedAt) {
		return w.LastAnswered
	}
	return w.AcknowledgedAt
}

// ExpireLease notes and reports whether the incarnation's lease has surely
// expired: the worker has acknowledged our token, so that only our answers renew
// the lease, and the last heartbeat that we answered arrived too long ago. A
// heartbeat is sent before it arrives, and the worker counts from the sending,
// so its lease expires no later than here.
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

package worker

import (
	"time"

	"wheatspur/internal/tuning"
)

// LeaseRenewedAt is the latest time at which a proven session's lease may have been
// renewed: its last report that we answered had arrived by then.
func (w *Worker) LeaseRenewedAt() time.Time {
	if w.LastAnswered.After(w.AcknowledgedAt) {
		return w.LastAnswered
	}
	return w.AcknowledgedAt
}

// ExpireLease reports whether the session's lease has surely ended: the worker
// showed our token, so that only our answers renew it, and the last report
// that we answered arrived too long ago. A report is sent before it arrives,
// and the worker counts from the sending.
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

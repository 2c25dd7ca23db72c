// This file divides the request budget of the key-value store between the controllers.

package fleet

import "wheatspur/internal/tuning"

// UpdateStoreBudgetShare sets this controller's share of the store's budget. The request rate is
// divided equally between the members. The write rate is divided into equal parts, of which
// the leader gets two because it also stores machines, roles and quota. While the queued
// writes of all members are known, only half of the write rate is divided this way, and the
// other half in proportion to the queued writes. Equal parts alone would leave most of the
// budget idle at controllers that have little to store. The lock is held.
func (px *PeerExchange) UpdateStoreBudgetShare() {
	members := float64(max(1, len(px.Membership.Members)))
	share := 1 / (members + 1)
	if px.Membership.Leader == px.Self {
		share *= 2
	}
	if total, known := px.totalQueuedWrites(); known && total >= 1 {
		share = (share + px.QueuedWrites/total) / 2
	}
	px.Limiter.SetRate(px.Limits.RPS*tuning.BudgetShare/members, px.Limits.WriteRPS*tuning.BudgetShare*share)
}

// totalQueuedWrites returns the sum of the queued writes of all members. known is false if any
// member has no fresh status. The lock is held.
func (px *PeerExchange) totalQueuedWrites() (total float64, known bool) {
	total = px.QueuedWrites
	for _, node := range px.Membership.Members {
		if node == px.Self {
			continue
		}
		status := px.statusOf(node)
		if status == nil {
			return 0, false
		}
		total += float64(status.QueuedWrites)
	}
	return total, true
}

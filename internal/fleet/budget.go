// This file divides the budget of requests to the key-value store between the
// controllers.

package fleet

import "wheatspur/internal/tuning"

// UpdateBudgetShare sets this controller's share of the store's budget. All members
// have equal parts of the requests. Half of the writes is shared out in equal parts,
// two of them to the leader, which also stores machines, roles and quota; the other
// half by the writes that each member has queued, while all of them are known.
// Guards against most of the budget lying idle at controllers that have little to
// store. The lock is held.
func (px *PeerExchange) UpdateBudgetShare() {
	members := float64(max(1, len(px.Membership.Nodes)))
	share := 1 / (members + 1)
	if px.Membership.Leader == px.Self {
		share *= 2
	}
	if total, known := px.totalQueuedWrites(); known && total >= 1 {
		share = (share + px.QueuedWrites/total) / 2
	}
	px.Limiter.SetRate(px.Limits.RPS*tuning.BudgetShare/members, px.Limits.WriteRPS*tuning.BudgetShare*share)
}

// totalQueuedWrites adds up the queued writes of all members; known is false if the
// status of one of them is not recent enough. The lock is held.
func (px *PeerExchange) totalQueuedWrites() (total float64, known bool) {
	total = px.QueuedWrites
	for _, node := range px.Membership.Nodes {
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

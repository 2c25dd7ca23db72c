// This file divides the state service's budget of requests between the nodes.

package fleet

import (
	"wheatspur/internal/tuning"
)

// UpdateBudgetShare sets this node's part of the state service's budget: requests in
// equal parts; of the changes one half in equal parts, two of them to the
// leader, which also stores machines, roles and limits, and the other half by
// what waits at each node, while every member tells it. Guards against most of
// the budget lying idle at nodes that have little to store. The lock is held.
func (px *PeerExchange) UpdateBudgetShare() {
	live := float64(max(1, len(px.Membership.Nodes)))
	parts := 1 / (live + 1)
	if px.Membership.Leader == px.Self {
		parts *= 2
	}
	allKnown, sum := true, px.QueuedWrites
	for _, m := range px.Membership.Nodes {
		if m == px.Self {
			continue
		}
		s := px.Siblings[m.Label]
		if allKnown = allKnown && s != nil && px.IsFresh(s) && s.Status.Incarnation == m.Incarnation; !allKnown {
			break
		}
		sum += float64(s.Status.QueuedChanges)
	}
	if allKnown && sum >= 1 {
		parts = (parts + px.QueuedWrites/sum) / 2
	}
	px.Limiter.SetRate(px.Limits.RPS*tuning.BudgetShare/live, px.Limits.WriteRPS*tuning.BudgetShare*parts)
}

// This file divides the state service's budget of requests between the nodes.

package controller

import (
	"wheatspur/internal/tuning"
)

// updateBudgetShare sets this node's part of the state service's budget: requests in
// equal parts; of the changes one half in equal parts, two of them to the
// leader, which also stores machines, roles and limits, and the other half by
// what waits at each node, while every member tells it. Guards against most of
// the budget lying idle at nodes that have little to store. The lock is held.
func (px *peerExchange) updateBudgetShare() {
	live := float64(max(1, len(px.membership.Nodes)))
	parts := 1 / (live + 1)
	if px.membership.Leader == px.self {
		parts *= 2
	}
	allKnown, sum := true, px.queuedWrites
	for _, m := range px.membership.Nodes {
		if m == px.self {
			continue
		}
		s := px.siblings[m.Label]
		if allKnown = allKnown && s != nil && px.isFresh(s) && s.status.Incarnation == m.Incarnation; !allKnown {
			break
		}
		sum += float64(s.status.QueuedChanges)
	}
	if allKnown && sum >= 1 {
		parts = (parts + px.queuedWrites/sum) / 2
	}
	px.limiter.SetRate(px.limits.RPS*tuning.BudgetShare/live, px.limits.WriteRPS*tuning.BudgetShare*parts)
}

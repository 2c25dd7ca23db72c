// This file divides the state service's budget of requests between the nodes.

package controller

import (
	"wheatspur/internal/tuning"
)

// updateBudgetShare sets this node's part of the state service's budget: requests in
// equal parts; of the changes one half in equal parts, two of them to the
// leader, which also stores machines, roles and limits, and the other half by
// what waits at each node, while every member tells it. Guards against most of
// the budget lying idle at nodes that have little to store. mu is held.
func (n *Controller) updateBudgetShare() {
	live := float64(max(1, len(n.membership.Nodes)))
	parts := 1 / (live + 1)
	if n.membership.Leader == n.self {
		parts *= 2
	}
	allKnown, sum := true, n.queuedWrites
	for _, m := range n.membership.Nodes {
		if m == n.self {
			continue
		}
		s := n.siblings[m.Label]
		if allKnown = allKnown && s != nil && n.isFresh(s) && s.status.Incarnation == m.Incarnation; !allKnown {
			break
		}
		sum += float64(s.status.QueuedChanges)
	}
	if allKnown && sum >= 1 {
		parts = (parts + n.queuedWrites/sum) / 2
	}
	n.limiter.SetRate(n.limits.RPS*tuning.BudgetShare/live, n.limits.WriteRPS*tuning.BudgetShare*parts)
}

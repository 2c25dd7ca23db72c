package fleet

import (
	"wheatspur/internal/quota"
)

// machineClaims is what the claims on one machine take, by team.
type machineClaims struct {
	owner string
	teams map[string]quota.Amount
}

// sumClaims enters the claims on a machine in the sums by owner; the lock is held.
func (mi *machineIndex) sumClaims(host string) {
	if old, ok := mi.claims[host]; ok {
		for team, r := range old.teams {
			mi.claimedTotals[old.owner][team] = mi.claimedTotals[old.owner][team].Sub(r)
		}
		delete(mi.claims, host)
	}
	claims := mi.Table.ClaimsByMachine[host]
	if len(claims) == 0 {
		return
	}
	now := machineClaims{owner: mi.ShardOwner(host), teams: map[string]quota.Amount{}}
	for _, j := range claims {
		now.teams[j.Team] = now.teams[j.Team].Add(j.Need.Amount())
	}
	mi.claims[host] = now
	by := mi.claimedTotals[now.owner]
	if by == nil {
		by = map[string]quota.Amount{}
		mi.claimedTotals[now.owner] = by
	}
	for team, r := range now.teams {
		by[team] = by[team].Add(r)
	}
}

// ClaimedByNode is what the claims on each node's machines take; the lock is held.
func (mi *machineIndex) ClaimedByNode() quota.ClaimedByNode {
	for host := range mi.Changed {
		mi.sumClaims(host)
	}
	return mi.claimedTotals
}

package fleet

import "wheatspur/internal/quota"

// machineClaims holds the resources that are claimed on one machine, by team.
type machineClaims struct {
	owner string // owner of the machine
	teams map[string]quota.Amount
}

// ClaimTotals returns the resources that are claimed, by owner of the machines and by team.
// The lock is held, and the result is valid only while it is.
func (mi *MachineIndex) ClaimTotals() quota.ClaimedByController {
	for machine := range mi.ChangedMachines {
		mi.refreshClaimTotals(machine)
	}
	return mi.claimedTotals
}

// refreshClaimTotals updates a machine's contribution to claimedTotals. The lock is held.
func (mi *MachineIndex) refreshClaimTotals(machine string) {
	mi.subtractClaims(machine)
	if claimed := mi.Table.ClaimsByMachine[machine]; len(claimed) > 0 {
		claims := machineClaims{owner: mi.ShardOwner(machine), teams: map[string]quota.Amount{}}
		for _, job := range claimed {
			claims.teams[job.Team] = claims.teams[job.Team].Add(job.TaskResources.QuotaAmount())
		}
		mi.addClaims(machine, claims)
	}
}

// subtractClaims removes a machine's contribution from claimedTotals. The lock is held.
func (mi *MachineIndex) subtractClaims(machine string) {
	claims, ok := mi.claims[machine]
	if !ok {
		return
	}
	totals := mi.claimedTotals[claims.owner]
	for team, amount := range claims.teams {
		totals[team] = totals[team].Sub(amount)
	}
	delete(mi.claims, machine)
}

// addClaims adds the claims on a machine to claimedTotals. The lock is held.
func (mi *MachineIndex) addClaims(machine string, claims machineClaims) {
	mi.claims[machine] = claims
	totals := mi.claimedTotals[claims.owner]
	if totals == nil {
		totals = map[string]quota.Amount{}
		mi.claimedTotals[claims.owner] = totals
	}
	for team, amount := range claims.teams {
		totals[team] = totals[team].Add(amount)
	}
}

package election

import (
	"context"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/membership"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// reachability summarizes what this controller knows about whether workers reach it. The lock
// is held.
func (el *Election) reachability(now time.Time) membership.Reachability {
	summary := membership.Reachability{Unreachable: el.Unreachable[el.Self.Label]}
	switch {
	case !el.IsMember():
		// A controller that is not a member owns no machines that could reach it.
	case summary.Unreachable:
		summary.MayBecomeReachable = el.mayBecomeReachable(now)
	default:
		summary.HeardMachines, summary.SilentMachines = el.countHeard(now)
		summary.SiblingReceivesHeartbeats = el.Peers.SiblingReceivesHeartbeats()
	}
	return summary
}

// mayBecomeReachable reports whether this controller may own machines again: a worker has
// answered a probe, or there is none to probe. It is false for the first MinUnreachableTime, so
// that an unstable network does not move machines back and forth. The lock is held.
func (el *Election) mayBecomeReachable(now time.Time) bool {
	if now.Sub(el.unreachableSince) <= tuning.MinUnreachableTime {
		return false
	}
	return len(el.probes) == 0 || el.probeAnsweredAt.After(el.unreachableSince)
}

// countHeard counts this controller's machines that have sent a message recently, and the
// silent ones among those with tasks. A machine counts as silent only if it had time for a
// heartbeat under the current membership. The lock is held.
func (el *Election) countHeard(now time.Time) (heard, silent int) {
	silentAfter := el.SilenceTimeout()
	for machine, w := range el.Workers.ByMachine {
		if el.ShardOwner(machine) != el.Self.Label || w.LastHeardAt.IsZero() {
			continue
		}
		if now.Sub(w.LastHeardAt) < silentAfter {
			heard++
		} else if len(el.Table.ClaimsByMachine[machine]) > 0 && now.Sub(el.MembershipChangedAt) > silentAfter {
			silent++
		}
	}
	return heard, silent
}

// chooseProbes chooses the workers to probe until one answers. The lock is held.
func (el *Election) chooseProbes(now time.Time) {
	el.probes, el.unreachableSince, el.probeAnsweredAt = nil, now, time.Time{}
	for _, w := range el.Workers.ByMachine {
		if w.Address != "" && len(el.probes) < tuning.ReachabilityProbes {
			el.probes = append(el.probes, w.Address)
		}
	}
}

// RunProbes probes workers until ctx ends, whenever it is stored that none reaches this
// controller. It takes the lock.
func (el *Election) RunProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		timing.Sleep(ctx, el.Settings.HeartbeatInterval())
		for _, address := range el.activeProbes() {
			if el.Workers.Client.Probe(address) == nil {
				el.recordProbeAnswer()
				break
			}
		}
	}
	return nil
}

// activeProbes returns the addresses of the workers to probe. There are none while workers
// reach this controller. It takes the lock.
func (el *Election) activeProbes() []string {
	el.Lock()
	defer el.Unlock()
	if !el.Unreachable[el.Self.Label] {
		return nil
	}
	return el.probes
}

// recordProbeAnswer records that a worker has answered a probe. It takes the lock.
func (el *Election) recordProbeAnswer() {
	el.Lock()
	defer el.Unlock()
	el.probeAnsweredAt = el.Now()
	cluster.Wake(el.MembershipWake)
}

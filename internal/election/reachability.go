package election

import (
	"context"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/membership"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// reachability sums up whether this node hears its workers; the lock is held.
func (el *Election) reachability(now time.Time) membership.Reachability {
	e := membership.Reachability{Unreachable: el.Unreachable[el.Self.Label]}
	if el.Membership == nil || !el.IsMember() {
		return e
	}
	if e.Unreachable {
		if now.Sub(el.unreachableSince) > tuning.UnreachableMin {
			e.Answered = len(el.probes) == 0 || el.probeAnsweredAt.After(el.unreachableSince)
		}
		return e
	}
	e.Heard, e.Silent = el.countHeard(now)
	e.SiblingsReachable = el.Peers.SiblingHearsWorkers()
	return e
}

// countHeard counts this node's machines that are heard, and those with tasks that
// are silent though they had time to report under this membership; the lock is held.
func (el *Election) countHeard(now time.Time) (heard, silent int) {
	silentAfter := el.SilenceTimeout()
	for host, w := range el.Workers.ByMachine {
		if el.ShardOwner(host) != el.Self.Label || w.LastHeard.IsZero() {
			continue
		}
		if now.Sub(w.LastHeard) < silentAfter {
			heard++
		} else if len(el.Table.ClaimsByMachine[host]) > 0 && now.Sub(el.MembershipChangedAt) > silentAfter {
			silent++
		}
	}
	return heard, silent
}

// chooseProbes remembers workers to ask until one answers; the lock is held.
func (el *Election) chooseProbes(now time.Time) {
	el.probes, el.unreachableSince, el.probeAnsweredAt = nil, now, time.Time{}
	for _, w := range el.Workers.ByMachine {
		if w.Address != "" && len(el.probes) < tuning.ReachabilityProbes {
			el.probes = append(el.probes, w.Address)
		}
	}
}

// RunProbes asks workers, while this node is unreachable, whether they reach it again.
func (el *Election) RunProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		timing.Sleep(ctx, el.Settings.HeartbeatInterval())
		el.Lock()
		var ask []string
		if el.Unreachable[el.Self.Label] {
			ask = el.probes
		}
		el.Unlock()
		for _, address := range ask {
			if el.Workers.Client.Probe(address) != nil {
				continue
			}
			el.Lock()
			el.probeAnsweredAt = el.Now()
			el.Unlock()
			cluster.Wake(el.MembershipWake)
			break
		}
	}
	return nil
}

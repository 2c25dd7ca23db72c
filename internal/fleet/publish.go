package fleet

import (
	"math"
	"slices"
	"time"

	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// publishedMachine is what siblings are told of one of this node's machines.
type publishedMachine struct {
	status  peer.MachineStatus
	version uint64 // of its last change
}

// OwnStatus is this node's status, with what has changed of its machines since
// the view that a sibling has; the lock is held.
func (px *PeerExchange) OwnStatus(seen peer.MachinesVersion) peer.Status {
	now := px.Now()
	st := peer.Status{Label: px.Self.Label, Incarnation: px.Self.Incarnation, Revision: px.Cache.Revision(), HasStore: px.HasStore() && px.Cache.Consistent()}
	if px.Membership != nil {
		st.FencingToken = px.Membership.FencingToken
	}
	if px.IsMember() && now.Sub(px.PublishedAt) >= tuning.MachineStatusEvery {
		px.PublishedAt = now
		px.refreshPublished(now)
	}
	st.Recovering = px.recovery.Progress.MachinesUnknown()
	st.ReportsCancellations, st.LastCancellation = px.Cache.Consistent(), px.LastCancellation
	st.QueuedChanges = uint32(math.Ceil(px.QueuedWrites))
	st.MachinesVersion = px.publishedVersion
	st.AllMachines = seen.FencingToken != st.FencingToken || seen.Incarnation != st.Incarnation || seen.Number > px.publishedVersion
	if px.IsMember() {
		for _, t := range px.PublishedMachines {
			if st.AllMachines || t.version > seen.Number {
				st.Machines = append(st.Machines, t.status)
			}
		}
	}
	return st
}

// refreshPublished notes what has changed of this node's machines; the lock is held.
func (px *PeerExchange) refreshPublished(now time.Time) {
	silent := px.SilenceTimeout()
	for host, w := range px.unpublished(now) {
		if w.LastHeard.IsZero() {
			continue
		}
		h := peer.MachineStatus{Name: host, Incarnation: w.Incarnation, Silent: now.Sub(w.LastHeard) > silent, TokenAcknowledged: w.State == worker.TokenAcknowledged,
			TerminationNotice: -1, Quarantined: px.workers.isQuarantined(w, now)}
		if !w.TerminationAt.IsZero() {
			h.TerminationNotice = 0
		}
		t := px.PublishedMachines[host]
		if t == nil {
			t = &publishedMachine{}
			px.PublishedMachines[host] = t
		} else if o := t.status; o.Incarnation == h.Incarnation && o.Silent == h.Silent && o.TokenAcknowledged == h.TokenAcknowledged && o.TerminationNotice == h.TerminationNotice &&
			o.Quarantined == h.Quarantined && slices.Equal(o.Images, w.Images) {
			continue
		}
		h.SinceHeard = now.Sub(w.LastHeard)
		h.Images = slices.Clone(w.Images)
		px.publishedVersion++
		t.status, t.version = h, px.publishedVersion
	}
}

// unpublished lists the workers whose machines may differ from what siblings are
// told of them: those that something has changed for, and every so often all, for
// those that have fallen silent; the lock is held.
func (px *PeerExchange) unpublished(now time.Time) map[string]*worker.Worker {
	v := px.machineIndex
	some := px.workers.ByMachine
	if now.Sub(v.fullPublishAt) < tuning.SweepEvery && !now.Before(v.fullPublishAt) {
		some = make(map[string]*worker.Worker, len(v.unpublished))
		for host := range v.unpublished {
			if w := px.workers.ByMachine[host]; w != nil {
				some[host] = w
			}
		}
	} else {
		v.fullPublishAt = now
	}
	clear(v.unpublished)
	return some
}

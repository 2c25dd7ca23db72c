// This file builds the status that siblings are sent, with the machines that have
// changed since they last got it.

package fleet

import (
	"math"
	"slices"
	"time"

	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// publishedMachine is what siblings are sent about one of this controller's machines.
type publishedMachine struct {
	status  peer.MachineStatus
	version uint64 // of its last change
}

// noTerminationNotice says that the cloud has not announced to terminate a machine.
const noTerminationNotice = -1

// OwnStatus is this controller's status, with the machines that have changed since the
// version that a sibling knows. The lock is held.
func (px *PeerExchange) OwnStatus(known peer.MachinesVersion) peer.Status {
	status := px.ownSummary()
	status.AllMachines = known.FencingToken != status.FencingToken || known.Incarnation != status.Incarnation || known.Number > status.MachinesVersion
	if px.IsMember() {
		for _, published := range px.PublishedMachines {
			if status.AllMachines || published.version > known.Number {
				status.Machines = append(status.Machines, published.status)
			}
		}
	}
	return status
}

// ownSummary is this controller's status without any machines, which it first brings
// up to date. The lock is held.
func (px *PeerExchange) ownSummary() peer.Status {
	status := peer.Status{
		Label:       px.Self.Label,
		Incarnation: px.Self.Incarnation,
		Revision:    px.Cache.Revision(),
		HasStore:    px.HasStore() && px.Cache.Consistent(),
	}
	if px.Membership != nil {
		status.FencingToken = px.Membership.FencingToken
	}
	if now := px.Now(); px.IsMember() && now.Sub(px.PublishedAt) >= tuning.MachineStatusEvery {
		px.PublishedAt = now
		px.refreshPublished(now)
	}
	status.Recovering = px.recovery.Progress.MachinesUnknown()
	status.ReportsCancellations, status.LastCancellation = px.Cache.Consistent(), px.LastCancellation
	status.QueuedWrites = uint32(math.Ceil(px.QueuedWrites))
	status.MachinesVersion = px.publishedVersion
	return status
}

// refreshPublished brings PublishedMachines up to date. The lock is held.
func (px *PeerExchange) refreshPublished(now time.Time) {
	for machine, w := range px.workersToPublish(now) {
		if w.LastHeard.IsZero() {
			continue
		}
		status := px.machineStatus(w, machine, now)
		published := px.PublishedMachines[machine]
		if published == nil {
			published = &publishedMachine{}
			px.PublishedMachines[machine] = published
		} else if sameStatus(&published.status, &status) {
			continue
		}
		status.SilentFor = now.Sub(w.LastHeard)
		status.Images = slices.Clone(status.Images)
		px.publishedVersion++
		published.status, published.version = status, px.publishedVersion
	}
}

// machineStatus is the status of one of this controller's machines, without the time
// since it was heard; it shares the images with the worker. The lock is held.
func (px *PeerExchange) machineStatus(w *worker.Worker, machine string, now time.Time) peer.MachineStatus {
	status := peer.MachineStatus{
		Name:              machine,
		Incarnation:       w.Incarnation,
		Silent:            now.Sub(w.LastHeard) > px.SilenceTimeout(),
		TokenAcknowledged: w.State == worker.TokenAcknowledged,
		TerminationNotice: noTerminationNotice,
		Quarantined:       px.workers.isQuarantined(w, now),
		Images:            w.Images,
	}
	if !w.TerminationAt.IsZero() {
		status.TerminationNotice = 0
	}
	return status
}

// sameStatus reports whether two statuses of a machine say the same, leaving aside the
// time since it was heard.
func sameStatus(a, b *peer.MachineStatus) bool {
	return a.Incarnation == b.Incarnation && a.Silent == b.Silent && a.TokenAcknowledged == b.TokenAcknowledged &&
		a.TerminationNotice == b.TerminationNotice && a.Quarantined == b.Quarantined && slices.Equal(a.Images, b.Images)
}

// workersToPublish returns the workers whose machines may differ from what siblings
// were sent: those that something has changed for, and every so often all, for those
// that have fallen silent. The lock is held.
func (px *PeerExchange) workersToPublish(now time.Time) map[string]*worker.Worker {
	index := px.machineIndex
	workers := px.workers.ByMachine
	if !fullScanDue(&index.fullPublishAt, now) {
		workers = px.workers.workersOf(index.unpublished)
	}
	clear(index.unpublished)
	return workers
}

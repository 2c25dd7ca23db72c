// This file builds the status that siblings are sent, with the machines that have changed
// since the version that they know.

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
	version uint64 // publishedVersion at the last change of status
}

// noTerminationNotice is the TerminationNotice of a machine without a termination notice from
// the cloud.
const noTerminationNotice = -1

// OwnStatus returns this controller's status, with the machines that have changed since the
// version that a sibling knows. The lock is held.
func (px *PeerExchange) OwnStatus(known peer.MachinesVersion) peer.Status {
	status := px.ownSummary()
	status.AllMachines = known.FencingToken != status.FencingToken || known.Incarnation != status.Incarnation || known.Number > status.MachinesVersionNumber
	if px.IsMember() {
		for _, published := range px.PublishedMachines {
			if status.AllMachines || published.version > known.Number {
				status.Machines = append(status.Machines, published.status)
			}
		}
	}
	return status
}

// ownSummary returns this controller's status without machines. It first updates
// PublishedMachines if that is due. The lock is held.
func (px *PeerExchange) ownSummary() peer.Status {
	status := peer.Status{
		Label:       px.Self.Label,
		Incarnation: px.Self.Incarnation,
		Revision:    px.Cache.Revision(),
		HasStore:    px.StoreReadRecently() && px.Cache.Consistent(),
	}
	if px.Membership != nil {
		status.FencingToken = px.Membership.FencingToken
	}
	if now := px.Now(); px.IsMember() && now.Sub(px.PublishedAt) >= tuning.MachineStatusEvery {
		px.PublishedAt = now
		px.refreshPublished(now)
	}
	status.Recovering = px.recovery.Progress.MachinesUnaccounted()
	status.ReportsCancellations, status.LastCancellation = px.Cache.Consistent(), px.LastCancellation
	status.QueuedWrites = uint32(math.Ceil(px.QueuedWrites))
	status.MachinesVersionNumber = px.publishedVersion
	return status
}

// refreshPublished updates PublishedMachines. The lock is held.
func (px *PeerExchange) refreshPublished(now time.Time) {
	for machine, w := range px.workersToPublish(now) {
		if w.LastHeardAt.IsZero() {
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
		status.SilentFor = now.Sub(w.LastHeardAt)
		status.Images = slices.Clone(status.Images)
		px.publishedVersion++
		published.status, published.version = status, px.publishedVersion
	}
}

// machineStatus returns the status of one of this controller's machines, without SilentFor.
// Its Images share memory with the worker's. The lock is held.
func (px *PeerExchange) machineStatus(w *worker.Worker, machine string, now time.Time) peer.MachineStatus {
	status := peer.MachineStatus{
		Name:              machine,
		Incarnation:       w.Incarnation,
		Silent:            now.Sub(w.LastHeardAt) > px.SilenceTimeout(),
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

// sameStatus reports whether two statuses of a machine are equal, ignoring SilentFor.
func sameStatus(a, b *peer.MachineStatus) bool {
	return a.Incarnation == b.Incarnation && a.Silent == b.Silent && a.TokenAcknowledged == b.TokenAcknowledged &&
		a.TerminationNotice == b.TerminationNotice && a.Quarantined == b.Quarantined && slices.Equal(a.Images, b.Images)
}

// workersToPublish returns the workers of machines whose status may differ from the one that
// siblings were sent: machines with changes, and periodically all of them, to include those
// that have become silent. The lock is held.
func (px *PeerExchange) workersToPublish(now time.Time) map[string]*worker.Worker {
	index := px.machineIndex
	workers := px.workers.ByMachine
	if !fullScanDue(&index.fullPublishAt, now) {
		workers = px.workers.workersOf(index.unpublished)
	}
	clear(index.unpublished)
	return workers
}

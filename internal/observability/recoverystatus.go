// This file shows operators how far recovery is. Its methods expect the lock to be
// held.

package observability

import (
	"fmt"
	"strings"

	"wheatspur/internal/recovery"
)

// writeRecoveryStatus shows how far recovery is, and whether decisions that need to know
// all machines wait for it.
func (ob *Observer) writeRecoveryStatus(page *strings.Builder) {
	progress := ob.Recovery.Progress
	fmt.Fprintf(page, "recovery %q for %.0f s machines unknown %d reported %d reconciled %d missing %d starts_left services %d arrays %d hold %v\n",
		progress.Phase, ob.Now().Sub(progress.Since).Seconds(), progress.Machines[recovery.MachineUnknown], progress.Machines[recovery.HeartbeatReceived],
		progress.Machines[recovery.MachineReconciled], progress.Machines[recovery.MachineMissing], progress.PendingStarts[recovery.ServiceStart],
		progress.PendingStarts[recovery.ArrayStart], ob.Recovery.MachinesUnknown())
}

// collectRecovery gathers the metrics of recovery.
func (ob *Observer) collectRecovery(gauge gaugeFunc) {
	progress := ob.Recovery.Progress
	gauge(descRecoveryPhase, 1, string(progress.Phase))
	for _, state := range []recovery.MachineState{recovery.MachineUnknown, recovery.HeartbeatReceived, recovery.MachineReconciled, recovery.MachineMissing} {
		gauge(descRecoveryMachines, float64(progress.Machines[state]), string(state))
	}
	gauge(descRecoveryStarts, float64(progress.PendingStarts[recovery.ServiceStart]), "service")
	gauge(descRecoveryStarts, float64(progress.PendingStarts[recovery.ArrayStart]), "array")
}

// This file shows the progress of a controller's recovery on the status page and in the metrics.

package observability

import (
	"fmt"
	"strings"

	"wheatspur/internal/recovery"
)

// writeRecoveryStatus writes the progress of this controller's recovery, and whether decisions that
// require the state of all machines have to wait. The lock is held.
func (ob *Observer) writeRecoveryStatus(page *strings.Builder) {
	progress := ob.Recovery.Progress
	fmt.Fprintf(page, "recovery %q for %.0f s machines unknown %d reported %d reconciled %d missing %d starts_left services %d arrays %d hold %v\n",
		progress.Phase, ob.Now().Sub(progress.Since).Seconds(), progress.Machines[recovery.MachineUnknown], progress.Machines[recovery.HeartbeatReceived],
		progress.Machines[recovery.MachineReconciled], progress.Machines[recovery.MachineMissing], progress.PendingStarts[recovery.ServiceStart],
		progress.PendingStarts[recovery.ArrayStart], ob.Recovery.MustAwaitMachines())
}

// collectRecovery emits the metrics of this controller's recovery. The lock is held.
func (ob *Observer) collectRecovery(gauge gaugeFunc) {
	progress := ob.Recovery.Progress
	gauge(descRecoveryPhase, 1, string(progress.Phase))
	for _, state := range []recovery.MachineState{recovery.MachineUnknown, recovery.HeartbeatReceived, recovery.MachineReconciled, recovery.MachineMissing} {
		gauge(descRecoveryMachines, float64(progress.Machines[state]), string(state))
	}
	gauge(descPendingStarts, float64(progress.PendingStarts[recovery.ServiceStart]), "service")
	gauge(descPendingStarts, float64(progress.PendingStarts[recovery.ArrayStart]), "array")
}

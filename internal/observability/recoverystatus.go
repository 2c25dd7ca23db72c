package observability

import (
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"wheatspur/internal/recovery"
)

// writeRecoveryStatus shows operators how far recovery is; the lock is held.
func (ob *Observer) writeRecoveryStatus(b *strings.Builder) {
	r := ob.Recovery.Progress
	fmt.Fprintf(b, "recovery %q for %.0f s machines unknown %d reported %d reconciled %d missing %d starts_left services %d arrays %d hold %v\n",
		r.Phase, ob.Now().Sub(r.Since).Seconds(), r.Machines[recovery.Unknown], r.Machines[recovery.Reported], r.Machines[recovery.Reconciled],
		r.Machines[recovery.Missing], r.PendingStarts[recovery.ServiceStart], r.PendingStarts[recovery.ArrayStart], ob.Recovery.MachinesUnknown())
}

// collectRecovery gathers the metrics of recovery; the lock is held.
func (ob *Observer) collectRecovery(gauge func(d *prometheus.Desc, v float64, labels ...string)) {
	r := ob.Recovery.Progress
	gauge(descRecoveryPhase, 1, string(r.Phase))
	for _, state := range []recovery.MachineState{recovery.Unknown, recovery.Reported, recovery.Reconciled, recovery.Missing} {
		gauge(descRecoveryMachines, float64(r.Machines[state]), string(state))
	}
	gauge(descRecoveryStarts, float64(r.PendingStarts[recovery.ServiceStart]), "service")
	gauge(descRecoveryStarts, float64(r.PendingStarts[recovery.ArrayStart]), "array")
}

var (
	descRecoveryPhase    = desc("recovery_phase", "1 for the phase of this node's recovery.", "phase")
	descRecoveryMachines = desc("recovery_machines", "This node's machines by what was known of them when it last recovered.", "state")
	descRecoveryStarts   = desc("recovery_starts_left", "Starts that wait while this node recovers.", "class")
)

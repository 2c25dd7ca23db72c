// This file serves the metrics.

package observability

import (
	"bytes"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/valyala/fasthttp"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
)

// stateCollector reads a controller's state when metrics are gathered.
type stateCollector struct{ observer *Observer }

// gaugeFunc hands over the value of a gauge.
type gaugeFunc func(descriptor *prometheus.Desc, value float64, labels ...string)

// Describe names all metrics that Collect may hand over.
func (stateCollector) Describe(descriptors chan<- *prometheus.Desc) {
	for _, descriptor := range stateDescriptors {
		descriptors <- descriptor
	}
}

// Collect hands over all metrics, as of one moment: it holds the lock throughout.
func (sc stateCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(descriptor *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(descriptor, prometheus.GaugeValue, value, labels...)
	}
	ob := sc.observer
	ob.Lock()
	defer ob.Unlock()
	ob.collectController(gauge)
	ob.collectJobs(gauge)
	ob.collectMachines(gauge)
	ob.collectRoles(gauge)
	ob.collectTeams(gauge)
	ob.collectRecovery(gauge)
}

// collectController gathers what this controller knows of itself and the membership;
// the lock is held.
func (ob *Observer) collectController(gauge gaugeFunc) {
	gauge(descBuildInfo, 1, tuning.Version)
	gauge(descLeader, boolValue(ob.IsLeader()))
	gauge(descStore, boolValue(ob.StoreReadRecently()))
	if ob.Membership == nil {
		return
	}
	gauge(descToken, float64(ob.Membership.FencingToken))
	members := map[uint64]int{}
	for _, member := range ob.Membership.Members {
		members[ob.StoredSessions[member.Label].Format]++
	}
	for format, count := range members {
		gauge(descMembers, float64(count), strconv.FormatUint(format, 10))
	}
}

// collectJobs gathers the counts of jobs and tasks; the lock is held.
func (ob *Observer) collectJobs(gauge gaugeFunc) {
	gauge(descOpenJobs, float64(len(ob.Table.Open)))
	gauge(descWaitingJobs, float64(len(ob.Table.Waiting)))
	var tasks [len(jobs.Job{}.TaskCounts)]int // by state
	for _, job := range ob.Table.Open {
		for state, count := range job.TaskCounts {
			tasks[state] += count
		}
	}
	for state, count := range tasks {
		gauge(descTasks, float64(count), jobs.TaskState(state).String())
	}
	unplaced := 0
	for _, count := range ob.scheduler.Unplaced {
		unplaced += count
	}
	gauge(descUnplacedTasks, float64(unplaced))
}

// collectMachines gathers the counts of machine records; the lock is held.
func (ob *Observer) collectMachines(gauge gaugeFunc) {
	type group struct {
		machineType, kind, role string
		phase                   inventory.Phase
	}
	machines := map[group]int{}
	for _, machine := range ob.Inventory.Machines {
		kind := "ordinary"
		if machine.Spot {
			kind = "spot"
		}
		machines[group{machine.MachineType, kind, string(machine.Role), machine.Phase}]++
	}
	for g, count := range machines {
		gauge(descMachines, float64(count), g.machineType, g.kind, g.role, string(g.phase))
	}
}

// collectRoles gathers the leader's last decisions on roles; the lock is held.
func (ob *Observer) collectRoles(gauge gaugeFunc) {
	if !ob.IsLeader() {
		return
	}
	for machineType, decision := range ob.leaderLoop.Term.RoleDecisions {
		gauge(descRoleLoad, decision.BatchLoad, machineType, "batch")
		gauge(descRoleLoad, decision.ServiceLoad, machineType, "service")
		gauge(descRoleEvidence, boolValue(decision.EvidenceOpen), machineType)
	}
}

// boolValue is the value of a gauge that says whether something is so.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ServeMetrics shows all metrics of this controller in Prometheus' text form.
func (ob *Observer) ServeMetrics(request *fasthttp.RequestCtx) {
	families, err := ob.Metrics.Registry.Gather()
	if err != nil {
		response.Error(request, fasthttp.StatusInternalServerError, "metrics can't be gathered")
		ob.Log.Error(logging.EventMetricsNotGathered, logging.KeyError, err)
		return
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			ob.Log.Error(logging.EventMetricsNotWritten, logging.KeyError, err)
			return
		}
	}
	request.SetContentType(string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	request.SetBody(text.Bytes())
}

// This file collects and serves the metrics.

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

// stateCollector is a prometheus.Collector that reads a controller's state when the metrics are
// gathered.
type stateCollector struct{ observer *Observer }

// gaugeFunc emits the value of a gauge.
type gaugeFunc func(descriptor *prometheus.Desc, value float64, labels ...string)

// Describe sends the descriptors of all metrics that Collect may send.
func (stateCollector) Describe(descriptors chan<- *prometheus.Desc) {
	for _, descriptor := range stateDescriptors {
		descriptors <- descriptor
	}
}

// Collect sends all metrics. It holds the lock throughout, so that they show the state at one
// point in time.
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

// collectController emits the metrics of this controller and of the membership. The lock is held.
func (ob *Observer) collectController(gauge gaugeFunc) {
	gauge(descBuildInfo, 1, tuning.Version)
	gauge(descLeader, boolValue(ob.IsLeader()))
	gauge(descStoreReadRecently, boolValue(ob.StoreReadRecently()))
	if ob.Membership == nil {
		return
	}
	gauge(descFencingToken, float64(ob.Membership.FencingToken))
	membersByFormat := map[uint64]int{}
	for _, member := range ob.Membership.Members {
		membersByFormat[ob.StoredSessions[member.Label].Format]++
	}
	for format, count := range membersByFormat {
		gauge(descMembers, float64(count), strconv.FormatUint(format, 10))
	}
}

// collectJobs emits the numbers of jobs and tasks. The lock is held.
func (ob *Observer) collectJobs(gauge gaugeFunc) {
	gauge(descOpenJobs, float64(len(ob.Table.Open)))
	gauge(descWaitingJobs, float64(len(ob.Table.Waiting)))
	var tasksByState [len(jobs.Job{}.TaskCounts)]int
	for _, job := range ob.Table.Open {
		for state, count := range job.TaskCounts {
			tasksByState[state] += count
		}
	}
	for state, count := range tasksByState {
		gauge(descTasks, float64(count), jobs.TaskState(state).String())
	}
	unplaced := 0
	for _, count := range ob.scheduler.Unplaced {
		unplaced += count
	}
	gauge(descUnplacedTasks, float64(unplaced))
}

// collectMachines emits the numbers of machine records. The lock is held.
func (ob *Observer) collectMachines(gauge gaugeFunc) {
	type machineLabels struct {
		machineType, kind, role string
		phase                   inventory.Phase
	}
	counts := map[machineLabels]int{}
	for _, machine := range ob.Inventory.Machines {
		kind := "ordinary"
		if machine.Spot {
			kind = "spot"
		}
		counts[machineLabels{machine.MachineType, kind, string(machine.Role), machine.Phase}]++
	}
	for labels, count := range counts {
		gauge(descMachines, float64(count), labels.machineType, labels.kind, labels.role, string(labels.phase))
	}
}

// collectRoles emits the leader's last decisions on roles, if this controller is the leader. The
// lock is held.
func (ob *Observer) collectRoles(gauge gaugeFunc) {
	if !ob.IsLeader() {
		return
	}
	for machineType, decision := range ob.leaderLoop.Term.RoleDecisions {
		gauge(descRoleLoad, decision.BatchLoad, machineType, "batch")
		gauge(descRoleLoad, decision.ServiceLoad, machineType, "service")
		gauge(descEvidenceOpen, boolValue(decision.EvidenceOpen), machineType)
	}
}

// boolValue returns the value of a gauge for a boolean: 1 for true, 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ServeMetrics serves all metrics of this controller in the Prometheus text format. It takes the
// lock.
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

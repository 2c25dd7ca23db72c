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

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("wheatspur_"+name, help, labels, nil)
}

var (
	descToken    = desc("token", "Token of the membership this node knows.")
	descLeader   = desc("leader", "1 if this node leads.")
	descState    = desc("state_service", "1 if the state service was read lately.")
	descJobs     = desc("jobs_open", "Jobs that are not over.")
	descWaiting  = desc("jobs_awaiting", "Jobs that wait for others.")
	descInfo     = desc("build_info", "1, with the version of the program.", "version")
	descNodes    = desc("members", "Members by the stored forms that they have told to read; 0: none told.", "form")
	descTasks    = desc("tasks", "Tasks of open jobs.", "state")
	descUnmet    = desc("tasks_without_place", "Tasks without a place in the last pass.")
	descHosts    = desc("machines", "Machines by type, kind, role and phase.", "type", "kind", "role", "phase")
	descSplit    = desc("split_load", "Load of a role, as the leader last priced it.", "type", "role")
	descEvidence = desc("split_evidence_open", "1 while the evidence window is open.", "type")
)

// stateCollector reads a controller's state when metrics are gathered.
type stateCollector struct{ observer *Observer }

func (c stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descToken, descLeader, descState, descJobs, descWaiting, descInfo, descNodes, descTasks, descUnmet, descHosts, descSplit, descEvidence,
		descTeam, descTeamShare, descTeamPhase, descRecoveryPhase, descRecoveryMachines, descRecoveryStarts} {
		ch <- d
	}
}

func (c stateCollector) Collect(ch chan<- prometheus.Metric) {
	ob := c.observer
	ob.Lock()
	defer ob.Unlock()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	if ob.Membership != nil {
		gauge(descToken, float64(ob.Membership.FencingToken))
	}
	ob.collectTeams(gauge)
	ob.collectRecovery(gauge)
	leads := ob.IsLeader()
	gauge(descLeader, boolValue(leads))
	gauge(descState, boolValue(ob.HasStore()))
	gauge(descJobs, float64(len(ob.Table.Open)))
	gauge(descWaiting, float64(len(ob.Table.Waiting)))
	gauge(descInfo, 1, tuning.Version)
	if ob.Membership != nil {
		forms := map[uint64]int{}
		for _, m := range ob.Membership.Nodes {
			forms[ob.StoredSessions[m.Label].Format]++
		}
		for form, k := range forms {
			gauge(descNodes, float64(k), strconv.FormatUint(form, 10))
		}
	}
	var tasks [3]int
	for _, j := range ob.Table.Open {
		for s, k := range j.Counts {
			tasks[s] += k
		}
	}
	for s, k := range tasks {
		gauge(descTasks, float64(k), jobs.State(s).String())
	}
	unmet := 0
	for _, k := range ob.scheduler.Unplaced {
		unmet += k
	}
	gauge(descUnmet, float64(unmet))
	type group struct {
		machineType, kind, role string
		phase                   inventory.Phase
	}
	hosts := map[group]int{}
	for _, h := range ob.Inventory.Machines {
		kind := "ordinary"
		if h.Spot {
			kind = "spot"
		}
		hosts[group{h.MachineType, kind, string(h.Role), h.Phase}]++
	}
	for g, k := range hosts {
		gauge(descHosts, float64(k), g.machineType, g.kind, g.role, string(g.phase))
	}
	if leads {
		for machineType, d := range ob.leaderLoop.LeaderState.RoleDecisions {
			gauge(descSplit, d.BatchLoad, machineType, "batch")
			gauge(descSplit, d.ServiceLoad, machineType, "service")
			gauge(descEvidence, boolValue(d.EvidenceOpen), machineType)
		}
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (ob *Observer) ServeMetrics(c *fasthttp.RequestCtx) {
	families, err := ob.Metrics.Registry.Gather()
	if err != nil {
		response.Error(c, 500, "metrics can't be gathered")
		ob.Log.Error(logging.EventMetricsNotGathered, logging.KeyError, err)
		return
	}
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			ob.Log.Error(logging.EventMetricsNotWritten, logging.KeyError, err)
			return
		}
	}
	c.SetContentType(string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	c.SetBody(b.Bytes())
}

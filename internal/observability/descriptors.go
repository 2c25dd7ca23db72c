package observability

import "github.com/prometheus/client_golang/prometheus"

// Descriptors of the gauges that are read from the state when the metrics are gathered.
// Dashboards and alerts of operators depend on their names, labels and help texts.
var (
	// descFencingToken is the fencing token of the newest membership that this controller
	// knows. It is absent while no membership is known.
	descFencingToken = newDesc("token", "Token of the membership this node knows.")
	// descLeader is 1 on the leader and 0 elsewhere. The sum over all controllers shows
	// whether there is a leader.
	descLeader = newDesc("leader", "1 if this node leads.")
	// descStoreReadRecently is 0 while this controller's last read of the store is too old to
	// base decisions on. The controller then makes no new decisions and forwards users'
	// requests to its siblings.
	descStoreReadRecently = newDesc("state_service", "1 if the state service was read lately.")
	// descOpenJobs is the number of jobs that have not ended and whose dependencies, if any, are
	// all done. Despite its help text it does not include the jobs with unfinished dependencies,
	// which descWaitingJobs counts.
	descOpenJobs    = newDesc("jobs_open", "Jobs that are not over.")
	descWaitingJobs = newDesc("jobs_awaiting", "Jobs that wait for others.")
	// descBuildInfo is always 1. The version of the program is in its label.
	descBuildInfo = newDesc("build_info", "1, with the version of the program.", "version")
	// descMembers is the number of members by the newest format version that each supports.
	// It shows the progress of an upgrade.
	descMembers = newDesc("members", "Members by the stored forms that they have told to read; 0: none told.", "form")
	// descTasks is the number of tasks of open jobs by state.
	descTasks = newDesc("tasks", "Tasks of open jobs.", "state")
	// descUnplacedTasks is the number of tasks that the last scheduler pass could not place.
	descUnplacedTasks = newDesc("tasks_without_place", "Tasks without a place in the last pass.")
	// descMachines is the number of stored machine records. The kind is "spot" or
	// "ordinary" (on-demand).
	descMachines = newDesc("machines", "Machines by type, kind, role and phase.", "type", "kind", "role", "phase")
	// descRoleLoad and descEvidenceOpen show the leader's last decision on how the machines of
	// a type are split between the roles. Only the leader has them. The evidence window opens
	// when the leader begins to observe a type, and again with each move to the service role. It
	// closes once enough service jobs have arrived, but not before a minimum time, or when a
	// maximum time has passed. While it is open, a machine moves to the batch role only if that
	// role is below its floor.
	descRoleLoad     = newDesc("split_load", "Load of a role, as the leader last priced it.", "type", "role")
	descEvidenceOpen = newDesc("split_evidence_open", "1 while the evidence window is open.", "type")

	// descTeamAmount shows a team's limit and guarantee, and how much of them its tasks use or
	// wait for.
	descTeamAmount = newDesc("team", "Amount of a resource of a team, by kind: limit, guarantee, used, borrowed, reserved, in_flight, in_doubt, waiting.", "team", "resource", "kind")
	// descTeamShare shows each controller's share of a team's limit, and how much of it is
	// claimed.
	descTeamShare = newDesc("team_share", "A node's part of a team's limit, and what the claims on its machines hold of it.", "team", "node", "resource", "kind")
	// descTeamSharesPhase is 1 for the current phase of a team's shares. Other phases are
	// absent.
	descTeamSharesPhase = newDesc("team_shares_phase", "1 for the phase of a team's shares.", "team", "phase")

	// descRecoveryPhase is 1 for the current phase of this controller's recovery. Other phases
	// are absent.
	descRecoveryPhase = newDesc("recovery_phase", "1 for the phase of this node's recovery.", "phase")
	// descRecoveryMachines is the number of this controller's machines by state, as last
	// counted during its recovery.
	descRecoveryMachines = newDesc("recovery_machines", "This node's machines by what was known of them when it last recovered.", "state")
	// descPendingStarts is the number of task starts that wait during a recovery, which may
	// limit their rate.
	descPendingStarts = newDesc("recovery_starts_left", "Starts that wait while this node recovers.", "class")
)

// stateDescriptors lists the descriptors of all metrics that stateCollector may collect.
var stateDescriptors = []*prometheus.Desc{
	descFencingToken, descLeader, descStoreReadRecently, descOpenJobs, descWaitingJobs, descBuildInfo, descMembers, descTasks, descUnplacedTasks, descMachines,
	descRoleLoad, descEvidenceOpen,
	descTeamAmount, descTeamShare, descTeamSharesPhase,
	descRecoveryPhase, descRecoveryMachines, descPendingStarts,
}

// newDesc describes a metric of this program.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("wheatspur_"+name, help, labels, nil)
}

package observability

import "github.com/prometheus/client_golang/prometheus"

// Gauges that are read from the state when metrics are gathered. Their names, labels
// and help texts are what operators' dashboards and alerts rely on.
var (
	// descToken is the fencing token of the membership that this controller knows; absent
	// while it knows none.
	descToken = desc("token", "Token of the membership this node knows.")
	// descLeader is summed over the controllers to see whether there is a leader.
	descLeader = desc("leader", "1 if this node leads.")
	// descStore is 0 while this controller has no current read of the store: it then
	// decides nothing new and forwards users to its siblings.
	descStore = desc("state_service", "1 if the state service was read lately.")
	// descOpenJobs counts jobs whose tasks may start; descWaitingJobs those with
	// dependencies that are not done, which are no part of it.
	descOpenJobs    = desc("jobs_open", "Jobs that are not over.")
	descWaitingJobs = desc("jobs_awaiting", "Jobs that wait for others.")
	// descBuildInfo is always 1.
	descBuildInfo = desc("build_info", "1, with the version of the program.", "version")
	// descMembers counts members by the newest stored form that each can read, for
	// the progress of an upgrade.
	descMembers = desc("members", "Members by the stored forms that they have told to read; 0: none told.", "form")
	// descTasks counts the tasks of open jobs by state.
	descTasks = desc("tasks", "Tasks of open jobs.", "state")
	// descUnplacedTasks counts the tasks that the last scheduler pass found no machine for.
	descUnplacedTasks = desc("tasks_without_place", "Tasks without a place in the last pass.")
	// descMachines counts the stored machine records; kind is spot or ordinary (on-demand).
	descMachines = desc("machines", "Machines by type, kind, role and phase.", "type", "kind", "role", "phase")
	// descRoleLoad and descRoleEvidence are the leader's last decision on the split of a
	// machine type between the roles; absent elsewhere.
	descRoleLoad     = desc("split_load", "Load of a role, as the leader last priced it.", "type", "role")
	descRoleEvidence = desc("split_evidence_open", "1 while the evidence window is open.", "type")

	// descTeam is a team's quota, and what its tasks take of it.
	descTeam = desc("team", "Amount of a resource of a team, by kind: limit, guarantee, used, borrowed, reserved, in_flight, in_doubt, waiting.", "team", "resource", "kind")
	// descTeamShare is how a team's limit is divided among the controllers.
	descTeamShare = desc("team_share", "A node's part of a team's limit, and what the claims on its machines hold of it.", "team", "node", "resource", "kind")
	// descTeamPhase is 1 for the phase that the division of a team's limit is in.
	descTeamPhase = desc("team_shares_phase", "1 for the phase of a team's shares.", "team", "phase")

	// descRecoveryPhase is 1 for the phase that this controller's recovery is in.
	descRecoveryPhase = desc("recovery_phase", "1 for the phase of this node's recovery.", "phase")
	// descRecoveryMachines counts this controller's machines at the last recovery.
	descRecoveryMachines = desc("recovery_machines", "This node's machines by what was known of them when it last recovered.", "state")
	// descRecoveryStarts counts the starts that recovery paces.
	descRecoveryStarts = desc("recovery_starts_left", "Starts that wait while this node recovers.", "class")
)

// stateDescriptors are all that stateCollector collects.
var stateDescriptors = []*prometheus.Desc{
	descToken, descLeader, descStore, descOpenJobs, descWaitingJobs, descBuildInfo, descMembers, descTasks, descUnplacedTasks, descMachines,
	descRoleLoad, descRoleEvidence,
	descTeam, descTeamShare, descTeamPhase,
	descRecoveryPhase, descRecoveryMachines, descRecoveryStarts,
}

// desc describes a metric of this program.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("wheatspur_"+name, help, labels, nil)
}

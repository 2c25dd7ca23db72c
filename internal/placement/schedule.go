package placement

import (
	"slices"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
)

// Schedule runs a scheduling pass: it places pending tasks, and preempts others for
// them where that is allowed. It modifies the machines of the fleet and the
// allowances; Fleet.Rollback restores the machines.
func Schedule(in Input) Output {
	out := Output{Unplaced: map[string]int{}, UnplacedReasons: map[string]string{}}
	in.reservedPriority, in.preemptionScansLeft, in.trackMaxFree = beyondLowestPriority, preemptionScansPerPass, true
	for _, d := range in.Demands {
		d.priority, d.guaranteedAtStart, d.latestStart = d.Job.Priority, in.guaranteed(d.Job), in.latestStart(d.Job)
	}
	slices.SortFunc(in.Demands, compareDemands)
	for _, d := range in.Demands {
		in.scheduleDemand(d, &out)
	}
	return out
}

// scheduleDemand places as many tasks of a demand as it can, and records why the others
// wait.
func (in *Input) scheduleDemand(d *Demand, out *Output) {
	team := in.Allowances[d.Job.Record.Spec.Team]
	if team == nil {
		out.recordUnplaced(d, len(d.Tasks), reasonNoTeam)
		return
	}
	guaranteed := in.guaranteed(d.Job)
	if !guaranteed && d.priority >= in.reservedPriority {
		// Keeps borrowed work from taking back the room that was freed for a guarantee.
		// Without this rule, such work was preempted and placed again many times a minute.
		out.recordUnplaced(d, len(d.Tasks), reasonReservedForGuarantee)
		return
	}
	tasks := d.Tasks[:team.MaxTasks(d.Job.TaskResources.QuotaAmount(), len(d.Tasks))]
	if len(tasks) == 0 {
		out.recordUnplaced(d, len(d.Tasks), ReasonTeamLimit)
		return
	}
	var choice machineChoice
	if in.Fleet.mayFit(d.Job) {
		if in.MaxJobs <= 0 {
			out.recordUnplaced(d, len(tasks), ReasonJobLimit)
			return
		}
		choice = in.chooseMachines(d, team, tasks)
	}
	if len(choice.machines) > 0 {
		in.MaxJobs--
		in.applyChoice(d, team, tasks, choice, out)
	}
	if out.explainUnplaced(d, tasks, choice) {
		in.makeRoomForUnplaced(d, guaranteed, tasks, choice, out)
	}
}

// machineChoice holds the machines chosen for a demand's first tasks, one for each, and
// the controller that stores the claims.
type machineChoice struct {
	controller     string
	machines       []*Machine
	shareLimited   bool         // the leader's share of the team's limit admits fewer tasks than the limit
	shareShortfall quota.Amount // what the leader's share lacks for all tasks, if the share is the only obstacle
}

// chooseMachines finds machines for the tasks: those of one shard owner if they
// have room for all tasks, else those of several, with the leader as controller.
func (in *Input) chooseMachines(d *Demand, team *quota.Allowance, tasks []int) machineChoice {
	choice := in.chooseOwner(d, team, tasks)
	if choice.controller == "" {
		admitted := team.MaxTasksAt(in.Leader, d.Job.TaskResources.QuotaAmount(), len(tasks))
		choice.controller = in.Leader
		choice.shareLimited = admitted < len(tasks)
		choice.machines = in.fitAcrossOwners(d, tasks[:admitted])
		if choice.shareLimited && len(choice.machines) == admitted {
			choice.shareShortfall = d.Job.TaskResources.QuotaAmount().Mul(float64(len(tasks))).Sub(team.Remaining[in.Leader])
		}
	}
	if d.Job.IsGang() && (len(d.Job.Claims) > 0 || len(choice.machines) < d.Job.Record.Tasks-d.Job.TaskCounts[jobs.Completed]) {
		choice.machines = nil // gang scheduling: all tasks are placed at once or none
	}
	return choice
}

// chooseOwner finds the shard owner whose machines have room for all tasks with the
// shortest total wait for the image, the first in the job's order among equals. An image
// pull costs more than any other criterion here. Without such an owner the choice is empty.
func (in *Input) chooseOwner(d *Demand, team *quota.Allowance, tasks []int) machineChoice {
	var best machineChoice
	shortestWait := 0.0
	for _, owner := range in.RankMembers(d.Job.ID) {
		if team.MaxTasksAt(owner, d.Job.TaskResources.QuotaAmount(), len(tasks)) < len(tasks) {
			continue
		}
		picks := in.fit(d, tasks, owner)
		if len(picks) < len(tasks) {
			continue
		}
		wait := 0.0
		for _, m := range picks {
			wait += m.imageWait(d.Job)
		}
		if best.controller == "" || wait < shortestWait {
			best.controller, best.machines = owner, picks
			shortestWait = wait
		}
	}
	return best
}

// applyChoice deducts the tasks from the room of the chosen machines and from the team's
// allowance, and adds the claims to the output if this controller is to store them.
func (in *Input) applyChoice(d *Demand, team *quota.Allowance, tasks []int, choice machineChoice, out *Output) {
	for i, m := range choice.machines {
		in.Fleet.markChanged(m)
		m.Free = m.Free.Sub(d.Job.TaskResources)
		m.addImagePull(d.Job.Record.Spec)
		m.placedTasks++
		if choice.controller == in.Self && !d.WriteInFlight {
			out.Claims = append(out.Claims, Claim{Job: d.Job, Task: tasks[i], Machine: m.Name, Incarnation: m.Incarnation})
		}
	}
	team.Deduct(choice.controller, d.Job.TaskResources.QuotaAmount().Mul(float64(len(choice.machines))))
}

// makeRoomForUnplaced provides room for the tasks that were not placed: it reserves room
// against later demands of the pass, and preempts other tasks.
func (in *Input) makeRoomForUnplaced(d *Demand, guaranteed bool, tasks []int, choice machineChoice, out *Output) {
	placed := len(choice.machines)
	unplaced := len(tasks) - placed
	if guaranteed {
		in.recordGuaranteeShortfall(d, unplaced, out)
		if d.MayReclaim {
			in.reservedPriority = min(in.reservedPriority, d.priority)
		}
	}
	if d.Starved && placed == 0 && len(d.Job.Claims) == 0 {
		in.reserveMachine(d)
	}
	for range unplaced {
		if !in.reserveOrPreempt(d, out) {
			break
		}
	}
}

// recordGuaranteeShortfall adds the resources of so many tasks of the demand to the
// shortfall of its team, up to the unused part of the guarantee.
func (in *Input) recordGuaranteeShortfall(d *Demand, tasks int, out *Output) {
	name := d.Job.Record.Spec.Team
	team := in.Allowances[name]
	needed := d.Job.TaskResources.QuotaAmount().Mul(float64(tasks))
	unusedGuarantee := team.Guarantee.Sub(team.Used).Max(quota.Amount{})
	out.GuaranteeShortfall = withAmount(out.GuaranteeShortfall, name, out.GuaranteeShortfall[name].Add(needed).Min(unusedGuarantee))
}

package placement

import (
	"slices"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
)

// Schedule runs a pass: it places pending tasks, and preempts others for them
// where that is allowed. It changes the machines of the fleet and the
// allowances; Fleet.Rollback restores the machines.
func Schedule(in Input) Output {
	out := Output{Unplaced: map[string]int{}, Reasons: map[string]string{}}
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

// scheduleDemand places the tasks of a demand, as many as it can, and notes why the
// others wait.
func (in *Input) scheduleDemand(d *Demand, out *Output) {
	team := in.Teams[d.Job.Record.Spec.Team]
	if team == nil {
		out.recordUnplaced(d, len(d.Tasks), reasonNoTeam)
		return
	}
	guaranteed := in.guaranteed(d.Job)
	if !guaranteed && d.priority >= in.reservedPriority {
		// Guards against borrowed work taking back the room that was freed for
		// a guarantee: it was preempted and placed again many times a minute.
		out.recordUnplaced(d, len(d.Tasks), reasonReservedForGuarantee)
		return
	}
	tasks := d.Tasks[:team.Total(d.Job.Need.Amount(), len(d.Tasks))]
	if len(tasks) == 0 {
		out.recordUnplaced(d, len(d.Tasks), ReasonNoQuota)
		return
	}
	var choice machineChoice
	if in.Fleet.mayFit(d.Job) {
		if in.MaxJobs <= 0 {
			out.recordUnplaced(d, len(tasks), ReasonNoTurn)
			return
		}
		choice = in.chooseMachines(d, team, tasks)
	}
	if len(choice.machines) > 0 {
		in.MaxJobs--
		in.applyChoice(d, team, tasks, choice, out)
	}
	if out.explainUnplaced(d, tasks, choice) {
		in.seekRoom(d, guaranteed, tasks, choice, out)
	}
}

// machineChoice is the machines chosen for a demand's first tasks, and the
// controller that stores the claims.
type machineChoice struct {
	controller     string
	machines       []*Machine
	shareLimited   bool         // the leader's share of the team's limit admits fewer tasks than the limit
	shareShortfall quota.Amount // what the leader lacks of the limit, if that alone is in the way
}

// chooseMachines finds machines for the tasks: those of one shard owner if they
// hold all of them, else those of any.
func (in *Input) chooseMachines(d *Demand, team *quota.Allowance, tasks []int) machineChoice {
	choice := in.chooseOwner(d, team, tasks)
	if choice.controller == "" {
		admitted := team.AtNode(in.Leader, d.Job.Need.Amount(), len(tasks))
		choice.controller = in.Leader
		choice.shareLimited = admitted < len(tasks)
		choice.machines = in.fitAcrossOwners(d, tasks[:admitted])
		if choice.shareLimited && len(choice.machines) == admitted {
			choice.shareShortfall = d.Job.Need.Amount().Times(float64(len(tasks))).Sub(team.Left[in.Leader])
		}
	}
	if d.Job.Gang() && (len(d.Job.Claims) > 0 || len(choice.machines) < d.Job.Record.Tasks-d.Job.Counts[jobs.Completed]) {
		choice.machines = nil // gang scheduling: all tasks at once or none
	}
	return choice
}

// chooseOwner finds the first shard owner whose machines hold all tasks, the
// shortest waits for the image coming first: an image pull costs more than any
// other choice here. Without such an owner the choice is empty.
func (in *Input) chooseOwner(d *Demand, team *quota.Allowance, tasks []int) machineChoice {
	var best machineChoice
	leastWait := 0.0
	for _, owner := range in.RankNodes(d.Job.ID) {
		if team.AtNode(owner, d.Job.Need.Amount(), len(tasks)) < len(tasks) {
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
		if best.controller == "" || wait < leastWait {
			best.controller, best.machines = owner, picks
			leastWait = wait
		}
	}
	return best
}

// applyChoice takes the room of the chosen machines and of the team's limit, and
// claims the tasks if this controller is to store them.
func (in *Input) applyChoice(d *Demand, team *quota.Allowance, tasks []int, choice machineChoice, out *Output) {
	for i, m := range choice.machines {
		in.Fleet.markChanged(m)
		m.Free = m.Free.Sub(d.Job.Need)
		m.addImagePull(d.Job.Record.Spec)
		m.placedTasks++
		if choice.controller == in.Self && !d.WriteInFlight {
			out.Claims = append(out.Claims, Claim{Job: d.Job, Task: tasks[i], Machine: m.Name, Incarnation: m.Incarnation})
		}
	}
	team.Take(choice.controller, d.Job.Need.Amount().Times(float64(len(choice.machines))))
}

// seekRoom sees to it that the tasks without a place get one: what comes later
// in the pass may not take the room, and other tasks are preempted for it.
func (in *Input) seekRoom(d *Demand, guaranteed bool, tasks []int, choice machineChoice, out *Output) {
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

// recordGuaranteeShortfall adds what so many tasks of the demand take to the
// shortfall of its team, as far as the guarantee is not used up.
func (in *Input) recordGuaranteeShortfall(d *Demand, tasks int, out *Output) {
	name := d.Job.Record.Spec.Team
	team := in.Teams[name]
	lack := d.Job.Need.Amount().Times(float64(tasks))
	unused := team.Guarantee.Sub(team.Used).Max(quota.Amount{})
	out.GuaranteeShortfall = withAmount(out.GuaranteeShortfall, name, out.GuaranteeShortfall[name].Add(lack).Min(unused))
}

package server

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatspur/internal/fleet"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// write runs a guarded write of the leader and enters it.
func (n *Node) write(ctx context.Context, guards []wire.Compare, changes []wire.Operation) error {
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	revision, err := n.svc.CompareAndSwap(cctx, store.ClassRecords, guards, changes)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			_ = n.sync.ReadBarrier(tuning.BarrierWait)
		}
		return err
	}
	n.answered(changes, revision)
	return nil
}

// answered enters a write of this node.
func (n *Node) answered(changes []wire.Operation, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.ApplyOwnWrite(changes, revision)
	wake(n.passWake)
}

// runLead plans capacity and moves roles while leading. What it gives back and
// stores goes beside the next plans, which meanwhile only rent. Guards against
// a wave of lost machines whose records took the budget of changes for half a
// minute, while nothing was rented in their place.
func (n *Node) runLead(ctx context.Context) error {
	var stepped time.Time
	storing := make(chan struct{}, 1)
	var background errgroup.Group
	defer func() { _ = background.Wait() }()
	for ctx.Err() == nil {
		sleep(ctx, tuning.PlanEvery)
		n.mu.Lock()
		if !n.leads() || !n.hasState() || len(n.types) == 0 || n.blind() {
			n.mu.Unlock()
			continue
		}
		l, now := n.leadMemory(), n.now()
		machines := n.machines(now)
		n.noteArrivals(l, now)
		free := len(storing) == 0
		var moves []fleet.RecordChange
		if free && now.Sub(stepped) >= tuning.RoleStep {
			stepped = now
			moves = n.stepRoles(l, machines, now)
		}
		listed := !l.listAt.IsZero() && now.Sub(l.listAt) < 5*tuning.ListEvery
		var out fleet.Output
		if listed {
			out = fleet.Plan(n.planInput(l, machines, now))
		}
		if !free {
			n.mu.Unlock()
			for _, h := range out.ScaleOut {
				n.rent(ctx, h)
			}
			continue
		}
		drains, dead := n.drainChanges(out.ScaleIn)
		returns, drops := n.toReturn(l, now)
		returns = slices.Concat(dead, l.lost, returns)
		var cut []string
		if n.lim.AvailableWrites(tuning.WriteReserve) >= 2 {
			cut = n.reg.OversizeGroups(n.groupLimit(), tuning.GroupSplitsPerPlan)
		}
		n.mu.Unlock()

		// Rentals don't wait for the budget of changes.
		storing <- struct{}{}
		background.Go(func() error {
			n.writeHosts(ctx, moves)
			n.giveBack(ctx, returns)
			n.storeHosts(ctx, append(drains, drops...), cut, tuning.GroupsPerBatch)
			<-storing
			return nil
		})
		for _, h := range out.ScaleOut {
			n.rent(ctx, h)
		}
	}
	return nil
}

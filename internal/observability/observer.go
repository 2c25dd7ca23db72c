// Package observability shows operators the state of a controller on the status page and in the
// metrics. It reads the state of the other components with the lock held and changes nothing.
// Package cluster keeps the counters that are updated as events occur, such as the number of
// answers by status. Log records are written where the events occur, with the event names and
// keys of package logging.
package observability

import (
	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/leader"
	"wheatspur/internal/scheduler"
)

// Observer serves the status page and the metrics of a controller.
type Observer struct {
	*cluster.State
	*fleet.Fleet
	scheduler  *scheduler.Scheduler
	leaderLoop *leader.Loop
}

// New returns an observer of a controller's components, and registers the metrics that are read
// from their state.
func New(state *cluster.State, fleet *fleet.Fleet, scheduler *scheduler.Scheduler, leader *leader.Loop) *Observer {
	ob := &Observer{State: state, Fleet: fleet, scheduler: scheduler, leaderLoop: leader}
	state.Metrics.Registry.MustRegister(stateCollector{ob})
	return ob
}

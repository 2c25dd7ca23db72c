// Package observability shows operators the state of a controller: the status page
// and the metrics. It reads the state of the other components with the lock held and
// changes nothing. What is counted on the way, such as answers by status, is kept by
// package cluster; the log is written where things happen, with the names of package
// logging.
package observability

import (
	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/leader"
	"wheatspur/internal/scheduler"
)

// Observer shows operators the state of a controller: the status page and the
// metrics.
type Observer struct {
	*cluster.State
	*fleet.Fleet
	scheduler  *scheduler.Scheduler
	leaderLoop *leader.Loop
}

// New returns an observer of a controller's components, and registers its metrics.
func New(state *cluster.State, fleet *fleet.Fleet, scheduler *scheduler.Scheduler, leader *leader.Loop) *Observer {
	ob := &Observer{State: state, Fleet: fleet, scheduler: scheduler, leaderLoop: leader}
	state.Metrics.Registry.MustRegister(stateCollector{ob})
	return ob
}

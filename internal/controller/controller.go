// Package controller is one controller process: it builds the components, connects
// them, runs their loops and servers, routes requests to them and hands them what
// changes in the store, and stops them cleanly. It decides nothing about jobs,
// machines or quota, and keeps no state of its own: the shared state, and the lock
// that guards it, are package cluster's.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatspur/internal/api"
	"wheatspur/internal/cloud"
	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/election"
	"wheatspur/internal/fleet"
	"wheatspur/internal/leader"
	"wheatspur/internal/logging"
	"wheatspur/internal/observability"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
)

// Controller is one controller process: it owns the components and runs their
// loops. Their shared state, and the lock that guards it, is cluster.State.
type Controller struct {
	*cluster.State
	*fleet.Fleet
	election   *election.Election
	scheduler  *scheduler.Scheduler
	leaderLoop *leader.Loop
	api        *api.UserAPI
	observer   *observability.Observer
}

// New returns a controller that is ready to run.
func New(settings *config.Settings, log *slog.Logger) *Controller {
	now := time.Now
	share := tuning.BudgetShare / float64(max(1, len(settings.Siblings)+1))
	limits := settings.EffectiveStoreLimits()
	limiter := store.NewLimiter(limits.RPS*share, limits.WriteRPS*share, tuning.LimiterQueue, now)
	return newController(dependencies{
		Environment:  cluster.NewEnvironment(settings, log, now, store.NewClient(settings.Endpoints.State, limiter), limiter),
		cloud:        cloud.NewClient(settings.Endpoints.Cloud, settings.Params.Cloud.RPS*tuning.BudgetShare, now),
		workerClient: fleet.NewHTTPWorkerClient(),
	})
}

// dependencies is what a controller is built from.
type dependencies struct {
	cluster.Environment
	cloud        cloud.Provider
	workerClient fleet.WorkerClient
}

// newController builds the components and connects them.
func newController(d dependencies) *Controller {
	state := cluster.New(d.Environment)
	machines := fleet.New(state, d.workerClient)
	jobScheduler := scheduler.New(state, machines)
	leaderLoop := leader.New(state, machines, jobScheduler, d.cloud)
	c := &Controller{
		State:      state,
		Fleet:      machines,
		election:   election.New(state, machines),
		scheduler:  jobScheduler,
		leaderLoop: leaderLoop,
		api:        api.New(state, machines.Peers),
		observer:   observability.New(state, machines, jobScheduler, leaderLoop),
	}
	machines.Peers.OnSilent = leaderLoop.RecordLastHeard
	state.Inventory.OnChange = machines.MachineIndex.MarkRecordChanged
	state.Table.OnMachineChange = machines.MarkChanged
	state.OpenCache(c.applyOrLog)
	return c
}

// Run serves until ctx ends, or a server or a loop fails. It returns nil in the
// first case, and in both only when all that it started has ended.
func (c *Controller) Run(ctx context.Context) error {
	userListener, peerListener, err := c.listen()
	if err != nil {
		return err
	}
	group, running := errgroup.WithContext(ctx)
	c.startServers(group, userListener, peerListener)
	group.Go(func() error {
		<-running.Done()
		return errors.Join(userListener.Close(), peerListener.Close())
	})
	for _, loop := range c.loops() {
		group.Go(func() error { return loop(running) })
	}
	c.Log.Info(logging.EventServing, logging.KeyController, c.Settings.Label, logging.KeyAddress, c.Settings.Bind, logging.KeyPeers, len(c.Peers.Siblings))
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil // the servers report that their listeners were closed
}

// listen opens the ports for users and workers, and for the other controllers.
func (c *Controller) listen() (userListener, peerListener net.Listener, err error) {
	if userListener, err = net.Listen("tcp4", c.Settings.Bind); err != nil {
		return nil, nil, fmt.Errorf("bind: %w", err)
	}
	if peerListener, err = net.Listen("tcp4", c.Settings.PeerListen); err != nil {
		_ = userListener.Close() // nothing was accepted from it; the other error is the cause
		return nil, nil, fmt.Errorf("peer_listen: %w", err)
	}
	return userListener, peerListener, nil
}

// startServers serves both ports in the group.
func (c *Controller) startServers(group *errgroup.Group, userListener, peerListener net.Listener) {
	bounded := &boundedListener{Listener: userListener, max: int64(c.MaxConnections()), retryAfterS: c.Settings.Operator.RetryAfterSeconds}
	c.Workers.OpenConnections = func() int { return int(bounded.open.Load()) }
	users := c.httpServer(c.serveUser, c.MaxConnections())
	peers := c.httpServer(c.servePeer, tuning.PeerConnectionsEach*(len(c.Peers.Siblings)+1))
	peers.MaxRequestBodySize = tuning.MaxPeerBody
	group.Go(func() error { return users.Serve(bounded) })
	group.Go(func() error { return peers.Serve(peerListener) })
}

// loops are all loops of the components. Each runs until its context ends.
func (c *Controller) loops() []func(context.Context) error {
	loops := []func(context.Context) error{
		c.Syncer.Run,
		c.Syncer.ServeBarriers,
		c.election.RunSession,
		c.election.RunMembership,
		c.election.RunProbes,
		c.scheduler.Run,
		c.leaderLoop.RunCloudSync,
		c.leaderLoop.RunPlanning,
	}
	for range tuning.IntakeWriters {
		loops = append(loops, c.api.RunIntake)
	}
	for _, sibling := range c.Peers.Siblings {
		loops = append(loops, func(ctx context.Context) error { return c.Peers.RunPeerExchange(ctx, sibling) })
	}
	return loops
}

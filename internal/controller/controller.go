// Package controller assembles one controller process. It builds and connects the components, runs
// their loops and servers, routes requests to them, dispatches changed store records to them, and
// shuts them down gracefully. It makes no decisions about jobs, machines or quota and keeps no
// state of its own: package cluster holds the shared state and the lock that guards it.
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

// Controller is one controller process: it owns the components and runs their loops. The components
// share cluster.State, which includes the lock that guards it.
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
	storeShare := tuning.BudgetShare / float64(max(1, len(settings.Siblings)+1))
	limits := settings.EffectiveStoreLimits()
	limiter := store.NewLimiter(limits.RPS*storeShare, limits.WriteRPS*storeShare, tuning.LimiterQueue, now)
	return newController(dependencies{
		Environment:  cluster.NewEnvironment(settings, log, now, store.NewClient(settings.Endpoints.State, limiter), limiter),
		cloud:        cloud.NewClient(settings.Endpoints.Cloud, settings.Params.Cloud.RPS*tuning.BudgetShare, now),
		workerClient: fleet.NewHTTPWorkerClient(),
	})
}

// dependencies holds the environment and the clients that a controller is built from.
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
	machines.Peers.OnMachineSilent = leaderLoop.RecordLastHeard
	state.Inventory.OnChange = machines.MachineIndex.MarkRecordChanged
	state.Table.OnMachineChange = machines.MarkClaimsChanged
	state.OpenCache(c.applyOrLog)
	return c
}

// Run serves until ctx ends or a server or loop fails. It returns only after every goroutine that
// it started has ended, and returns nil if ctx ended.
func (c *Controller) Run(ctx context.Context) error {
	userListener, peerListener, err := c.listen()
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	c.startServers(group, userListener, peerListener)
	group.Go(func() error {
		<-groupCtx.Done()
		return errors.Join(userListener.Close(), peerListener.Close())
	})
	for _, loop := range c.loops() {
		group.Go(func() error { return loop(groupCtx) })
	}
	c.Log.Info(logging.EventServing, logging.KeyController, c.Settings.Label, logging.KeyAddress, c.Settings.Bind, logging.KeyPeers, len(c.Peers.Siblings))
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil // on shutdown the servers return errors because their listeners were closed
}

// listen opens the port for users and workers and the port for the other controllers.
func (c *Controller) listen() (userListener, peerListener net.Listener, err error) {
	if userListener, err = net.Listen("tcp4", c.Settings.Bind); err != nil {
		return nil, nil, fmt.Errorf("bind: %w", err)
	}
	if peerListener, err = net.Listen("tcp4", c.Settings.PeerListen); err != nil {
		_ = userListener.Close() // it has accepted no connection; the error to report is err
		return nil, nil, fmt.Errorf("peer_listen: %w", err)
	}
	return userListener, peerListener, nil
}

// startServers starts the servers of both ports in the group.
func (c *Controller) startServers(group *errgroup.Group, userListener, peerListener net.Listener) {
	bounded := &boundedListener{Listener: userListener, limit: int64(c.MaxConnections()), retryAfterS: c.Settings.Operator.RetryAfterSeconds}
	c.Workers.OpenConnections = func() int { return int(bounded.open.Load()) }
	userServer := c.httpServer(c.serveUser, c.MaxConnections())
	peerServer := c.httpServer(c.servePeer, tuning.PeerConnectionsEach*(len(c.Peers.Siblings)+1))
	peerServer.MaxRequestBodySize = tuning.MaxPeerBody
	group.Go(func() error { return userServer.Serve(bounded) })
	group.Go(func() error { return peerServer.Serve(peerListener) })
}

// loops returns the loops of all components. Each runs until its context ends.
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

// Package controller runs a controller node: it ties the decision packages to the
// state service, the cloud, the workers, the users and the sibling nodes.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/valyala/fasthttp"
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
	"wheatspur/internal/response"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Controller is one controller process: it owns the components and runs their
// loops. Their shared state, and the lock that guards it, is clusterState.
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
	limits := settings.StateLimits()
	limiter := store.NewLimiter(limits.RPS*share, limits.WriteRPS*share, tuning.BudgetQueue, now)
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
	fleet := fleet.New(state, d.workerClient)
	scheduler := scheduler.New(state, fleet)
	leader := leader.New(state, fleet, scheduler, d.cloud)
	fleet.Peers.OnSilent = leader.RecordSilent
	c := &Controller{
		State:      state,
		Fleet:      fleet,
		election:   election.New(state, fleet),
		scheduler:  scheduler,
		leaderLoop: leader,
		api:        api.New(state, fleet.Peers),
		observer:   observability.New(state, fleet, scheduler, leader),
	}
	state.Inventory.OnChange = fleet.MachineIndex.MarkRecordChanged
	state.Table.OnMachineChange = fleet.MarkChanged
	state.OpenCache(c.applyOrLog)
	return c
}

// Run serves until ctx ends or a listener fails. It returns nil in the first case.
func (n *Controller) Run(ctx context.Context) error {
	ul, err := net.Listen("tcp4", n.Settings.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	pl, err := net.Listen("tcp4", n.Settings.PeerListen)
	if err != nil {
		ul.Close()
		return fmt.Errorf("peer_listen: %w", err)
	}
	asked := ctx
	g, ctx := errgroup.WithContext(ctx)
	user := n.httpServer(n.serveUser, n.MaxConnections())
	bounded := &boundedListener{Listener: ul, max: int64(n.MaxConnections()), retryAfterS: n.Settings.Operator.RetryAfterSecond}
	n.Workers.OpenConnections = func() int { return int(bounded.open.Load()) }
	peers := n.httpServer(n.servePeer, 2*tuning.PeerConns*(len(n.Peers.Siblings)+1))
	peers.MaxRequestBodySize = 1 << 20
	g.Go(func() error { return user.Serve(bounded) })
	g.Go(func() error { return peers.Serve(pl) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Join(ul.Close(), pl.Close())
	})
	g.Go(func() error { return n.Syncer.Run(ctx) })
	g.Go(func() error { return n.Syncer.ServeBarriers(ctx) })
	g.Go(func() error { return n.election.RunSession(ctx) })
	g.Go(func() error { return n.election.RunMembership(ctx) })
	g.Go(func() error { return n.election.RunProbes(ctx) })
	for range tuning.IntakeLanes {
		g.Go(func() error { return n.api.RunIntake(ctx) })
	}
	g.Go(func() error { return n.scheduler.RunScheduler(ctx) })
	g.Go(func() error { return n.leaderLoop.RunCloudSync(ctx) })
	g.Go(func() error { return n.leaderLoop.RunLeader(ctx) })
	for _, s := range n.Peers.Siblings {
		g.Go(func() error { return n.Peers.RunPeerExchange(ctx, s) })
	}
	n.Log.Info(logging.EventServing, logging.KeyController, n.Settings.Label, logging.KeyAddress, n.Settings.Bind, logging.KeyPeers, len(n.Peers.Siblings))
	if err := g.Wait(); asked.Err() == nil {
		return err
	}
	return nil // what the closed listeners say
}

func (n *Controller) httpServer(h fasthttp.RequestHandler, conns int) *fasthttp.Server {
	return &fasthttp.Server{
		// fasthttp counts a connection until a little after its end.
		Handler: h, Name: "wheatspur", Concurrency: 2 * max(conns, 8),
		ReadTimeout: tuning.ReadTimeout, WriteTimeout: tuning.WriteTimeout, IdleTimeout: tuning.IdleTimeout,
		MaxRequestBodySize: wire.MaxBody, ReadBufferSize: 4096, WriteBufferSize: 4096,
		NoDefaultServerHeader: true, NoDefaultDate: true, ReduceMemoryUsage: true, CloseOnShutdown: true,
		ErrorHandler: response.Malformed, Logger: discardLogger{},
	}
}

// discardLogger drops fasthttp's own lines; what matters is logged by the handlers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

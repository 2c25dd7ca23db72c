// Package server runs a controller node: it ties the decision packages to the
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

	"wheatspur/internal/cloud"
	"wheatspur/internal/config"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Controller is one controller process: it owns the components and runs their
// loops. Their shared state, and the lock that guards it, is clusterState.
type Controller struct {
	*clusterState
	*fleet
	election   *election
	scheduler  *scheduler
	leaderLoop *leaderLoop
	api        *userAPI
	observer   *observer
}

// New returns a controller that is ready to run.
func New(settings *config.Settings, log *slog.Logger) *Controller {
	now := time.Now
	share := tuning.BudgetShare / float64(max(1, len(settings.Siblings)+1))
	limits := settings.StateLimits()
	limiter := store.NewLimiter(limits.RPS*share, limits.WriteRPS*share, tuning.BudgetQueue, now)
	return newController(dependencies{
		environment:  newEnvironment(settings, log, now, store.NewClient(settings.Endpoints.State, limiter), limiter),
		cloud:        cloud.NewClient(settings.Endpoints.Cloud, settings.Params.Cloud.RPS*tuning.BudgetShare, now),
		workerClient: newHTTPWorkerClient(),
	})
}

// dependencies is what a controller is built from.
type dependencies struct {
	environment
	cloud        cloud.Provider
	workerClient workerClient
}

// newController builds the components and connects them.
func newController(d dependencies) *Controller {
	state := newClusterState(d.environment)
	fleet := newFleet(state, d.workerClient)
	scheduler := newScheduler(state, fleet)
	leader := newLeaderLoop(state, fleet, scheduler, d.cloud)
	fleet.peers.onSilent = leader.recordSilent
	c := &Controller{
		clusterState: state,
		fleet:        fleet,
		election:     newElection(state, fleet),
		scheduler:    scheduler,
		leaderLoop:   leader,
		api:          newUserAPI(state, fleet.peers),
		observer:     newObserver(state, fleet, scheduler, leader),
	}
	state.inventory.OnChange = fleet.machineIndex.markRecordChanged
	state.table.OnMachineChange = fleet.markChanged
	state.openCache(c.applyStored)
	return c
}

// Run serves until ctx ends or a listener fails. It returns nil in the first case.
func (n *Controller) Run(ctx context.Context) error {
	ul, err := net.Listen("tcp4", n.settings.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	pl, err := net.Listen("tcp4", n.settings.PeerListen)
	if err != nil {
		ul.Close()
		return fmt.Errorf("peer_listen: %w", err)
	}
	asked := ctx
	g, ctx := errgroup.WithContext(ctx)
	user := n.httpServer(n.serveUser, n.maxConnections())
	bounded := &boundedListener{Listener: ul, max: int64(n.maxConnections()), retryAfterS: n.settings.Operator.RetryAfterSecond}
	n.workers.openConnections = func() int { return int(bounded.open.Load()) }
	peers := n.httpServer(n.servePeer, 2*tuning.PeerConns*(len(n.peers.siblings)+1))
	peers.MaxRequestBodySize = 1 << 20
	g.Go(func() error { return user.Serve(bounded) })
	g.Go(func() error { return peers.Serve(pl) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Join(ul.Close(), pl.Close())
	})
	g.Go(func() error { return n.syncer.Run(ctx) })
	g.Go(func() error { return n.syncer.ServeBarriers(ctx) })
	g.Go(func() error { return n.election.runSession(ctx) })
	g.Go(func() error { return n.election.runMembership(ctx) })
	g.Go(func() error { return n.election.runProbes(ctx) })
	for range tuning.IntakeLanes {
		g.Go(func() error { return n.api.runIntake(ctx) })
	}
	g.Go(func() error { return n.scheduler.runScheduler(ctx) })
	g.Go(func() error { return n.leaderLoop.runCloudSync(ctx) })
	g.Go(func() error { return n.leaderLoop.runLeader(ctx) })
	for _, s := range n.peers.siblings {
		g.Go(func() error { return n.peers.runPeerExchange(ctx, s) })
	}
	n.log.Info("serving", "node", n.settings.Label, "bind", n.settings.Bind, "peers", len(n.peers.siblings))
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
		ErrorHandler: badRequest, Logger: discardLogger{},
	}
}

// discardLogger drops fasthttp's own lines; what matters is logged by the handlers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

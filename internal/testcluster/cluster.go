// Package testcluster runs controllers as real processes on loopback, between
// fakes of the key-value store, the cloud and the workers (package fake). It owns
// the processes, their settings files and their links: processes are killed and
// started, and each link can fail by itself. What the fakes do is package fake's.
// It is for tests: the test's own program is started again as a controller (Main).
package testcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/wire"
)

const (
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 500 * time.Millisecond
	// requestTimeout is how long a user waits for an answer.
	requestTimeout = 2 * time.Second
	// machineAgeS is the age of the machines when a cluster starts, in seconds:
	// none is starting up.
	machineAgeS = 100
	// seedsPerMachine is the distance between the seeds of two machines, larger
	// than the number of links of a machine.
	seedsPerMachine = 1000
)

// Options say what a cluster consists of.
type Options struct {
	Controllers int
	Machines    int
	Teams       []config.Team
	Types       []wire.MachineType // machines are of the first
	Properties  string             // text of the operators' properties file
	Seed        uint64             // of the faults on links
	Lease       time.Duration      // of the workers
	Log         io.Writer          // of the controllers; nil: nowhere
	Commands    *fake.CommandLog   // records the commands to workers; nil: nothing does
	// Begins and Ended watch the tasks (see fake.Worker).
	Begins func(w *fake.Worker, t *fake.Task) time.Duration
	Ended  func(w *fake.Worker, t *fake.Task)
}

// Cluster is controllers with the fakes around them.
type Cluster struct {
	Store    *fake.Store
	Cloud    *fake.Cloud
	Machines []*fake.Machine

	options     Options
	dir         string // of the settings files
	controllers []*controllerProcess
	workers     sync.Mutex // guards the workers of all machines
	users       fasthttp.Client

	// What Close ends: the machines by cancel, the servers by their listeners.
	group     errgroup.Group
	cancel    context.CancelFunc
	listeners []net.Listener
}

// Start starts a cluster, which Close ends. dir is for settings files; applied is
// called with every transaction that the store has applied, nil: nothing is.
func Start(dir string, o Options, applied func([]wire.Operation)) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{Store: fake.NewStore(), Cloud: fake.NewCloud(o.Types, false), options: o, dir: dir, cancel: cancel}
	c.Store.Applied = applied
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// start starts the machines, then the controllers.
func (c *Cluster) start(ctx context.Context) error {
	if err := c.prepareControllers(); err != nil {
		return err
	}
	for i := range c.options.Machines {
		if err := c.startMachine(ctx, i); err != nil {
			return err
		}
	}
	for i := range c.controllers {
		if err := c.StartController(i); err != nil {
			return err
		}
	}
	return nil
}

// listen opens a listener on loopback that Close closes.
func (c *Cluster) listen() (net.Listener, error) {
	l, err := listenLoopback()
	if err == nil {
		c.listeners = append(c.listeners, l)
	}
	return l, err
}

// startMachine adds a spot machine that is up.
func (c *Cluster) startMachine(ctx context.Context, i int) error {
	l, err := c.listen()
	if err != nil {
		return err
	}
	w := &fake.Worker{
		Machine:     fmt.Sprintf("host-%06d", i),
		Address:     l.Addr().String(),
		Type:        c.options.Types[0].Label,
		Zone:        zone,
		Spot:        true,
		OnTaskStart: c.options.Begins,
		OnTaskEnd:   c.options.Ended,
		Commands:    c.options.Commands,
	}
	c.Cloud.Machines = append(c.Cloud.Machines, wire.Machine{
		Name:        w.Machine,
		Address:     w.Address,
		MachineType: w.Type,
		Zone:        w.Zone,
		Spot:        w.Spot,
		State:       wire.MachineRunning,
		AgeS:        machineAgeS,
	})
	seed := c.options.Seed + uint64(seedsPerMachine*(i+1))
	machine := fake.NewMachine(w, &c.workers, c.heartbeatEndpoints(), seed, heartbeatInterval, c.options.Lease)
	c.Machines = append(c.Machines, machine)
	c.group.Go(func() error { return machine.Serve(l) })
	c.group.Go(func() error { return machine.Run(ctx) })
	return nil
}

// heartbeatEndpoints are where the controllers take heartbeats.
func (c *Cluster) heartbeatEndpoints() (endpoints []fake.ControllerEndpoint) {
	for _, p := range c.controllers {
		endpoints = append(endpoints, fake.ControllerEndpoint{Label: p.settings.Label, Address: p.settings.Bind})
	}
	return endpoints
}

// StartController starts a controller's process.
func (c *Cluster) StartController(i int) error { return c.controllers[i].start() }

// Kill ends a controller's process without a signal that it could handle, and
// reports whether it was running until then.
func (c *Cluster) Kill(i int) bool { return c.controllers[i].kill() }

// Terminate asks a controller's process to stop, waits for its exit, and returns
// its exit code.
func (c *Cluster) Terminate(i int) (int, error) { return c.controllers[i].terminate() }

// StoreLink is a controller's link to the store.
func (c *Cluster) StoreLink(i int) *fake.Link { return c.controllers[i].store }

// Address is where a controller takes users' requests.
func (c *Cluster) Address(i int) string { return c.controllers[i].settings.Bind }

// Label is a controller's label.
func (c *Cluster) Label(i int) string { return c.controllers[i].settings.Label }

// Request sends a user's request to a controller; the status is 0 if there is no
// answer.
func (c *Cluster) Request(i int, method, path string, body any) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address(i) + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.SetBody(wire.MustMarshal(body))
	}
	if err := c.users.DoTimeout(req, resp, requestTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), slices.Clone(resp.Body())
}

// Close ends the controllers' processes, the machines and the servers, and waits
// for them.
func (c *Cluster) Close() {
	for i := range c.controllers {
		c.Kill(i)
	}
	c.cancel()
	for _, l := range c.listeners {
		_ = l.Close() // it fails only if its server has closed it
	}
	_ = c.group.Wait() // a server's error is that of its closed listener
}

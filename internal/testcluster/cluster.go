// Package testcluster runs controllers as real processes on loopback, connected to the fakes of the
// key-value store, the cloud and the workers in package fake. It manages the controller processes,
// their settings files and their network links: it can kill and restart each process, and each link
// can fail independently. Package fake defines how the fakes behave. This package is for tests only:
// the test binary starts itself again as a controller, see RunControllerIfRequested.
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
	// heartbeatInterval is the interval between the heartbeats of a worker.
	heartbeatInterval = 500 * time.Millisecond
	// requestTimeout is how long a user waits for a response.
	requestTimeout = 2 * time.Second
	// machineAgeS is the age of the machines when the cluster starts, in seconds. It is high enough
	// that no machine counts as starting up.
	machineAgeS = 100
	// seedsPerMachine is the difference between the seeds of consecutive machines. It is larger than
	// the number of links of a machine, each of which uses a seed of its own.
	seedsPerMachine = 1000
)

// Options configures a cluster.
type Options struct {
	Controllers        int
	Machines           int
	Teams              []config.Team
	MachineTypes       []wire.MachineType // all machines have the first type
	OperatorProperties string             // content of the operator properties file
	Seed               uint64             // seed of the random link faults
	WorkerLease        time.Duration      // lease of the workers
	Log                io.Writer          // receives the logs of the controllers; nil discards them
	CommandLog         *fake.CommandLog   // records the commands to workers; nil records none
	// OnTaskStart and OnTaskEnd are called when a task starts and ends; see fake.Worker.
	OnTaskStart func(w *fake.Worker, t *fake.Task) time.Duration
	OnTaskEnd   func(w *fake.Worker, t *fake.Task)
}

// Cluster is a set of controller processes with the fakes that they talk to.
type Cluster struct {
	Store    *fake.Store
	Cloud    *fake.Cloud
	Machines []*fake.Machine

	options     Options
	dir         string // contains the settings files
	controllers []*controllerProcess
	workersMu   sync.Mutex // guards the workers of all machines
	httpClient  fasthttp.Client

	// Close stops the machines through cancel, and the servers by closing their listeners.
	group     errgroup.Group
	cancel    context.CancelFunc
	listeners []net.Listener
}

// Start starts a cluster, which Close stops. The settings files are written to dir. If applied is not
// nil, it is called with the operations of every transaction that the store has applied.
func Start(dir string, o Options, applied func([]wire.Operation)) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{Store: fake.NewStore(), Cloud: fake.NewCloud(o.MachineTypes, false), options: o, dir: dir, cancel: cancel}
	c.Store.OnApply = applied
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

// listen opens a loopback listener, which Close closes.
func (c *Cluster) listen() (net.Listener, error) {
	l, err := listenLoopback()
	if err == nil {
		c.listeners = append(c.listeners, l)
	}
	return l, err
}

// startMachine adds a running spot machine with a worker on it.
func (c *Cluster) startMachine(ctx context.Context, i int) error {
	l, err := c.listen()
	if err != nil {
		return err
	}
	w := &fake.Worker{
		Machine:     fmt.Sprintf("host-%06d", i),
		Address:     l.Addr().String(),
		MachineType: c.options.MachineTypes[0].Label,
		Zone:        zone,
		Spot:        true,
		OnTaskStart: c.options.OnTaskStart,
		OnTaskEnd:   c.options.OnTaskEnd,
		CommandLog:  c.options.CommandLog,
	}
	c.Cloud.Machines = append(c.Cloud.Machines, wire.Machine{
		Name:        w.Machine,
		Address:     w.Address,
		MachineType: w.MachineType,
		Zone:        w.Zone,
		Spot:        w.Spot,
		State:       wire.MachineRunning,
		AgeS:        machineAgeS,
	})
	seed := c.options.Seed + uint64(seedsPerMachine*(i+1))
	machine := fake.NewMachine(w, &c.workersMu, c.heartbeatEndpoints(), seed, heartbeatInterval, c.options.WorkerLease)
	c.Machines = append(c.Machines, machine)
	c.group.Go(func() error { return machine.Serve(l) })
	c.group.Go(func() error { return machine.Run(ctx) })
	return nil
}

// heartbeatEndpoints returns the addresses to which workers send heartbeats.
func (c *Cluster) heartbeatEndpoints() (endpoints []fake.ControllerEndpoint) {
	for _, p := range c.controllers {
		endpoints = append(endpoints, fake.ControllerEndpoint{Label: p.settings.Label, Address: p.settings.Bind})
	}
	return endpoints
}

// StartController starts the process of controller i.
func (c *Cluster) StartController(i int) error { return c.controllers[i].start() }

// KillController ends the process of controller i with SIGKILL, and reports whether it was still
// running.
func (c *Cluster) KillController(i int) bool { return c.controllers[i].kill() }

// StopController sends SIGTERM to the process of controller i, waits for it to exit, and returns its
// exit code.
func (c *Cluster) StopController(i int) (int, error) { return c.controllers[i].terminate() }

// StoreLink returns the link from controller i to the store.
func (c *Cluster) StoreLink(i int) *fake.Link { return c.controllers[i].storeLink }

// Address returns the address at which controller i serves user requests.
func (c *Cluster) Address(i int) string { return c.controllers[i].settings.Bind }

// Label returns the label of controller i.
func (c *Cluster) Label(i int) string { return c.controllers[i].settings.Label }

// Request sends a user request to controller i and returns the HTTP status and the body of the
// response. The status is 0 if there was no response.
func (c *Cluster) Request(i int, method, path string, body any) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address(i) + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.SetBody(wire.MustMarshal(body))
	}
	if err := c.httpClient.DoTimeout(req, resp, requestTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), slices.Clone(resp.Body())
}

// Close kills the controller processes, stops the machines and the servers, and waits for all of them.
func (c *Cluster) Close() {
	for i := range c.controllers {
		c.KillController(i)
	}
	c.cancel()
	for _, l := range c.listeners {
		_ = l.Close() // fails only if the server has already closed it
	}
	_ = c.group.Wait() // servers fail only because their listeners are closed
}

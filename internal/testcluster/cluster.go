// Package cluster runs controllers as real processes on loopback, between
// stand-ins for the state service, the cloud and the workers. Processes are
// killed and started, and each link can be cut by itself. It is for tests: the
// test's own program is started again as a controller (Main).
package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"wheatspur/internal/config"
	"wheatspur/internal/controller"
	"wheatspur/internal/daemon"
	"wheatspur/internal/fake"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Environment variables that make a test's program a controller.
const (
	configVariable     = "WHEATSPUR_TEST_CONFIG"
	propertiesVariable = "WHEATSPUR_TEST_PROPERTIES"
)

// Main runs a controller if this process was started as one, and does not return
// then. Tests call it from TestMain.
func Main() {
	path := os.Getenv(configVariable)
	if path == "" {
		return
	}
	set, err := config.Load(path, os.Getenv(propertiesVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() {
		// The parent holds the other end: without it nobody would end this.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", set.Label)
	node := process{controller.New(set, log)}
	if err := daemon.Run(node, daemon.Options{DrainLimit: tuning.ShutdownLimit, Log: log, Manager: daemon.HostManager{Log: log}}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// process is a node as the daemon runs it.
type process struct{ *controller.Controller }

// Reload does nothing: a test's settings do not change.
func (process) Reload() error { return nil }

// Options say what a cluster consists of.
type Options struct {
	Controllers int
	Machines    int
	Teams       []config.Team
	Types       []wire.MachineType // machines are of the first
	Properties  string             // text of the operators' properties file
	Seed        uint64
	Lease       time.Duration  // of the workers
	Log         io.Writer      // of the controllers; nil: nowhere
	Orders      *fake.OrderLog // what the workers are told; nil: not noted
	// Begins and Ended watch the tasks (see fake.Worker).
	Begins func(w *fake.Worker, t *fake.Task) time.Duration
	Ended  func(w *fake.Worker, t *fake.Task)
}

// reportEvery is how often workers report.
const reportEvery = 500 * time.Millisecond

// Cluster is controllers with their surroundings.
type Cluster struct {
	Store    *fake.Store
	Cloud    *fake.Cloud
	Machines []*fake.Machine

	users       fasthttp.Client
	options     Options
	dir         string
	controllers []*controllerProcess
	group       *errgroup.Group
	stop        context.CancelFunc
	listeners   []net.Listener
	workers     sync.Mutex // guards the workers of all machines
}

// controllerProcess is one controller's process and its links.
type controllerProcess struct {
	settings   config.Settings
	configPath string
	state      *fake.Link // to the state service

	mu      sync.Mutex
	command *exec.Cmd // nil: not running
	stdin   io.Closer
	ended   chan struct{}
}

// Start starts everything. dir is for settings files; checker hears what the
// state service applies.
func Start(dir string, o Options, applied func([]wire.Operation)) (*Cluster, error) {
	ctx, stop := context.WithCancel(context.Background())
	c := &Cluster{Store: fake.NewStore(), Cloud: fake.NewCloud(o.Types, false), options: o, dir: dir, stop: stop, group: &errgroup.Group{}}
	c.Store.Applied = applied
	if err := c.begin(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) begin(ctx context.Context) error {
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
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err == nil {
		c.listeners = append(c.listeners, l)
	}
	return l, err
}

// freeAddresses finds loopback addresses that nothing listens on.
func freeAddresses(count int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open, out = append(open, l), append(out, l.Addr().String())
	}
	return out, nil
}

// prepareControllers writes the settings of all controllers, and serves the
// state service and the cloud to each over links of its own.
func (c *Cluster) prepareControllers() error {
	addresses, err := freeAddresses(2 * c.options.Controllers)
	if err != nil {
		return err
	}
	server := fake.NewStoreServer(c.Store)
	for i := range c.options.Controllers {
		stateListener, err := c.listen()
		if err != nil {
			return err
		}
		cloudListener, err := c.listen()
		if err != nil {
			return err
		}
		node := &controllerProcess{state: fake.NewLink(c.options.Seed + uint64(i))}
		c.group.Go(func() error { return server.Serve(stateListener, node.state) })
		c.group.Go(func() error { return fake.ServeCloud(cloudListener, fake.NewLink(0), c.Cloud) })
		node.settings = c.settings(i, addresses, stateListener.Addr().String(), cloudListener.Addr().String())
		node.configPath = filepath.Join(c.dir, node.settings.Label+".toml")
		text, err := toml.Marshal(node.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(node.configPath, text, 0o600); err != nil {
			return err
		}
		c.controllers = append(c.controllers, node)
	}
	return os.WriteFile(c.propertiesPath(), []byte(c.options.Properties), 0o600)
}

func (c *Cluster) propertiesPath() string { return filepath.Join(c.dir, "operator.properties") }

// label names a controller.
func label(i int) string { return fmt.Sprintf("n%d", i) }

// settings are those of one controller. Of its two addresses, the first is for
// users and workers, the second for the other controllers.
func (c *Cluster) settings(i int, addresses []string, state, cloud string) config.Settings {
	s := config.Settings{Label: label(i), Domain: "z", Bind: addresses[2*i], PeerListen: addresses[2*i+1]}
	for k := range c.options.Controllers {
		if k != i {
			s.Siblings = append(s.Siblings, config.Sibling{Label: label(k), Domain: "z", Endpoint: addresses[2*k+1]})
		}
	}
	s.Endpoints.State, s.Endpoints.Cloud = state, cloud
	p := &s.Params
	p.Count, p.Zones, p.TimeBoundMs, p.Teams = c.options.Controllers, []string{"z"}, 25, c.options.Teams
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = reportEvery.Seconds(), c.options.Lease.Seconds(), 3*c.options.Lease.Seconds()
	p.State.Limits = config.Limits{RPS: 2000, WriteRPS: 600, ValueKB: 8, TxnOps: 32}
	p.Cloud.RPS, p.Cloud.ListLagS = 50, 1
	p.Limits.CPUShare, p.Limits.MemMB, p.Limits.MaxConnections = 1, 512, 2000
	return s
}

// nodes are where controllers take reports.
func (c *Cluster) nodes() (out []fake.Node) {
	for _, n := range c.controllers {
		out = append(out, fake.Node{Label: n.settings.Label, Address: n.settings.Bind})
	}
	return out
}

// startMachine adds a spot machine that is up.
func (c *Cluster) startMachine(ctx context.Context, i int) error {
	l, err := c.listen()
	if err != nil {
		return err
	}
	w := &fake.Worker{Host: fmt.Sprintf("host-%06d", i), Address: l.Addr().String(), Type: c.options.Types[0].Label, Zone: "z", Spot: true,
		Begins: c.options.Begins, Ended: c.options.Ended, Orders: c.options.Orders}
	c.Cloud.Listed = append(c.Cloud.Listed, wire.Machine{Name: w.Host, Address: w.Address, MachineType: w.Type, Zone: w.Zone, Spot: true,
		State: wire.MachineRunning, AgeS: 100})
	m := fake.NewMachine(w, &c.workers, c.nodes(), c.options.Seed+uint64(1000*(i+1)), reportEvery, c.options.Lease)
	c.Machines = append(c.Machines, m)
	c.group.Go(func() error { return m.Serve(l) })
	c.group.Go(func() error { return m.Run(ctx) })
	return nil
}

// StartController starts a controller's process.
func (c *Cluster) StartController(i int) error {
	n := c.controllers[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return errors.New("cluster: controller runs already")
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), configVariable+"="+n.configPath, propertiesVariable+"="+c.propertiesPath())
	command.Stderr = c.options.Log
	stdin, err := command.StdinPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.stdin, n.ended = command, stdin, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.ended)
	return nil
}

// Kill ends a controller's process without a signal that it could handle, and
// reports whether it was running until then.
func (c *Cluster) Kill(i int) bool {
	n := c.controllers[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return false
	}
	running := true
	select {
	case <-n.ended:
		running = false
	default:
	}
	_ = n.command.Process.Kill()
	<-n.ended
	n.stdin.Close()
	n.command = nil
	return running
}

// Terminate asks a controller's process to stop, waits for its end, and returns
// its exit code.
func (c *Cluster) Terminate(i int) (int, error) {
	n := c.controllers[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return 0, errors.New("cluster: controller does not run")
	}
	if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	<-n.ended
	n.stdin.Close()
	code := n.command.ProcessState.ExitCode()
	n.command = nil
	return code, nil
}

// State is a controller's link to the state service.
func (c *Cluster) State(i int) *fake.Link { return c.controllers[i].state }

// Ask sends a user's request to a controller; the status is 0 if there is no
// answer.
func (c *Cluster) Ask(controller int, method, path string, body any) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Address(controller) + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.SetBody(wire.MustMarshal(body))
	}
	if err := c.users.DoTimeout(req, resp, askTimeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// askTimeout is how long a user waits for an answer.
const askTimeout = 2 * time.Second

// Address is where a controller takes users' requests.
func (c *Cluster) Address(i int) string { return c.controllers[i].settings.Bind }

// Label is a controller's label.
func (c *Cluster) Label(i int) string { return c.controllers[i].settings.Label }

// Close ends everything.
func (c *Cluster) Close() {
	for i := range c.controllers {
		c.Kill(i)
	}
	c.stop()
	for _, l := range c.listeners {
		l.Close()
	}
	_ = c.group.Wait()
}

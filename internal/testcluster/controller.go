package testcluster

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
)

// zone is the only zone and the only domain of a cluster.
const zone = "z"

// Limits in the settings of the controllers. They are generous, because no test exercises them.
const (
	timeBoundMs         = 25
	storeCallsPerSecond = 2000
	writesPerSecond     = 600
	valueLimitKB        = 8
	operationsLimit     = 32
	cloudCallsPerSecond = 50
	cloudListLagS       = 1
	processorShare      = 1
	memoryMB            = 512
	maxConnections      = 2000
	cancelLeases        = 3 // a cancellation is final after this many worker leases
)

// settingsMode is the file mode of the settings files.
const settingsMode = 0o600

// controllerProcess is the process of one controller, with its settings and its link to the store.
type controllerProcess struct {
	settings       config.Settings
	configPath     string
	propertiesPath string
	log            *logTail
	storeLink      *fake.Link

	mu      sync.Mutex    // guards all below
	command *exec.Cmd     // nil while no process is started
	stdin   io.Closer     // the process exits when it is closed
	exited  chan struct{} // closed when the process has exited
}

// start starts the process.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return errors.New("testcluster: controller is already running")
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), configVariable+"="+p.configPath, propertiesVariable+"="+p.propertiesPath)
	command.Stderr = p.log
	stdin, err := command.StdinPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.stdin, p.exited = command, stdin, exited
	go func() {
		defer close(exited)
		_ = command.Wait() // the error is ignored: reap reads the exit code from ProcessState
	}()
	return nil
}

// kill ends the process with SIGKILL, and reports whether it was still running.
func (p *controllerProcess) kill() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	running := true
	select {
	case <-p.exited:
		running = false
	default:
	}
	_ = p.command.Process.Kill() // fails only if the process has already exited
	p.reap()
	return running
}

// terminate sends SIGTERM to the process, waits for it to exit, and returns its exit code.
func (p *controllerProcess) terminate() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0, errors.New("testcluster: controller is not running")
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.reap(), nil
}

// reap waits for the process to exit, releases it and returns its exit code. The caller must hold mu.
func (p *controllerProcess) reap() int {
	<-p.exited
	_ = p.stdin.Close() // the process that read from it has exited
	code := p.command.ProcessState.ExitCode()
	p.command = nil
	return code
}

// prepareControllers writes the settings of all controllers, and serves the store and the cloud to each
// controller over separate links.
func (c *Cluster) prepareControllers() error {
	addresses, err := controllerAddresses(2 * c.options.Controllers)
	if err != nil {
		return err
	}
	propertiesPath := filepath.Join(c.dir, "operator.properties")
	if err := os.WriteFile(propertiesPath, []byte(c.options.OperatorProperties), settingsMode); err != nil {
		return err
	}
	server := fake.NewStoreServer(c.Store)
	for i := range c.options.Controllers {
		storeListener, err := c.listen()
		if err != nil {
			return err
		}
		cloudListener, err := c.listen()
		if err != nil {
			return err
		}
		link := fake.NewLink(c.options.Seed + uint64(i))
		c.group.Go(func() error { return server.Serve(storeListener, link) })
		c.group.Go(func() error { return fake.ServeCloud(cloudListener, fake.NewLink(0), c.Cloud) })
		p := &controllerProcess{
			settings:       c.controllerSettings(i, addresses, storeListener.Addr().String(), cloudListener.Addr().String()),
			configPath:     filepath.Join(c.dir, controllerLabel(i)+".toml"),
			propertiesPath: propertiesPath,
			log:            &logTail{output: c.options.Log},
			storeLink:      link,
		}
		if err := p.writeSettings(); err != nil {
			return err
		}
		c.controllers = append(c.controllers, p)
	}
	return nil
}

// writeSettings writes the settings file of the controller.
func (p *controllerProcess) writeSettings() error {
	text, err := toml.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath, text, settingsMode)
}

// controllerLabel returns the label of controller i.
func controllerLabel(i int) string { return fmt.Sprintf("n%d", i) }

// controllerSettings returns the settings of controller i. Each controller has two consecutive entries
// of addresses: the first for users and workers, the second for the other controllers.
func (c *Cluster) controllerSettings(i int, addresses []string, storeAddress, cloudAddress string) config.Settings {
	s := config.Settings{Label: controllerLabel(i), Domain: zone, Bind: addresses[2*i], PeerListen: addresses[2*i+1]}
	for sibling := range c.options.Controllers {
		if sibling != i {
			s.Siblings = append(s.Siblings, config.Sibling{Label: controllerLabel(sibling), Domain: zone, Endpoint: addresses[2*sibling+1]})
		}
	}
	s.Endpoints.State, s.Endpoints.Cloud = storeAddress, cloudAddress
	params := &s.Params
	params.Count, params.Zones, params.TimeBoundMs, params.Teams = c.options.Controllers, []string{zone}, timeBoundMs, c.options.Teams
	lease := c.options.WorkerLease.Seconds()
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.CancelS = heartbeatInterval.Seconds(), lease, cancelLeases*lease
	params.State.StoreLimits = config.StoreLimits{RPS: storeCallsPerSecond, WriteRPS: writesPerSecond, ValueKB: valueLimitKB, TxnOps: operationsLimit}
	params.Cloud.RPS, params.Cloud.ListLagS = cloudCallsPerSecond, cloudListLagS
	params.Limits.CPUShare, params.Limits.MemMB, params.Limits.MaxConnections = processorShare, memoryMB, maxConnections
	return s
}

// controllerAddresses returns free addresses for the controllers, on the loopback address of this test
// process. While a controller is down its ports are free, and any connection that any program opens in
// the meantime may be assigned one of the ports of 127.0.0.1. On that address, a controller might be
// unable to start again, or another program might answer in its place.
func controllerAddresses(count int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener // kept open until all addresses are found, so that the addresses differ
	var err error
	for range count {
		var l net.Listener
		if l, err = net.Listen("tcp4", net.JoinHostPort(processLoopback(os.Getpid()), "0")); err != nil {
			break
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		err = errors.Join(err, l.Close())
	}
	return addresses, err
}

// processLoopback returns the loopback address of a process, between 127.1.0.0 and 127.64.255.255. It
// is derived from the process ID, which has at most 22 bits.
func processLoopback(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// listenLoopback opens a listener on a free port of 127.0.0.1.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

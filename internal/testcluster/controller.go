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

// zone is the one zone and domain of a cluster.
const zone = "z"

// Limits that controllers are told. They are wide: the tests are not about them.
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
	cancelLeases        = 3 // so many worker leases until a cancellation is final
)

// settingsMode is the mode of the settings files.
const settingsMode = 0o600

// controllerProcess is one controller's process and its link to the store.
type controllerProcess struct {
	settings       config.Settings
	configPath     string
	propertiesPath string
	log            *logTail
	store          *fake.Link

	mu      sync.Mutex    // guards all below
	command *exec.Cmd     // nil: not running
	stdin   io.Closer     // its end ends the process
	exited  chan struct{} // closed when the process has exited
}

// start starts the process.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return errors.New("testcluster: controller runs already")
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
		_ = command.Wait() // how it exited is read from its state
	}()
	return nil
}

// kill ends the process without a signal that it could handle, and reports
// whether it was running until then.
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
	_ = p.command.Process.Kill() // it fails only if the process has exited
	p.reap()
	return running
}

// terminate asks the process to stop, waits for its exit, and returns its exit
// code.
func (p *controllerProcess) terminate() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0, errors.New("testcluster: controller does not run")
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.reap(), nil
}

// reap waits for the exit of the process and returns its exit code; mu is held.
func (p *controllerProcess) reap() int {
	<-p.exited
	_ = p.stdin.Close() // nobody reads it any more
	code := p.command.ProcessState.ExitCode()
	p.command = nil
	return code
}

// prepareControllers writes the settings of all controllers, and serves the store
// and the cloud to each over links of its own.
func (c *Cluster) prepareControllers() error {
	addresses, err := controllerAddresses(2 * c.options.Controllers)
	if err != nil {
		return err
	}
	propertiesPath := filepath.Join(c.dir, "operator.properties")
	if err := os.WriteFile(propertiesPath, []byte(c.options.Properties), settingsMode); err != nil {
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
			settings:       c.settings(i, addresses, storeListener.Addr().String(), cloudListener.Addr().String()),
			configPath:     filepath.Join(c.dir, controllerLabel(i)+".toml"),
			propertiesPath: propertiesPath,
			log:            &logTail{next: c.options.Log},
			store:          link,
		}
		if err := p.writeSettings(); err != nil {
			return err
		}
		c.controllers = append(c.controllers, p)
	}
	return nil
}

// writeSettings writes the controller's settings file.
func (p *controllerProcess) writeSettings() error {
	text, err := toml.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath, text, settingsMode)
}

// controllerLabel names a controller.
func controllerLabel(i int) string { return fmt.Sprintf("n%d", i) }

// settings are those of one controller. Of its two addresses, the first is for
// users and workers, the second for the other controllers.
func (c *Cluster) settings(i int, addresses []string, storeAddress, cloudAddress string) config.Settings {
	s := config.Settings{Label: controllerLabel(i), Domain: zone, Bind: addresses[2*i], PeerListen: addresses[2*i+1]}
	for sibling := range c.options.Controllers {
		if sibling != i {
			s.Siblings = append(s.Siblings, config.Sibling{Label: controllerLabel(sibling), Domain: zone, Endpoint: addresses[2*sibling+1]})
		}
	}
	s.Endpoints.State, s.Endpoints.Cloud = storeAddress, cloudAddress
	params := &s.Params
	params.Count, params.Zones, params.TimeBoundMs, params.Teams = c.options.Controllers, []string{zone}, timeBoundMs, c.options.Teams
	lease := c.options.Lease.Seconds()
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.CancelS = heartbeatInterval.Seconds(), lease, cancelLeases*lease
	params.State.Limits = config.Limits{RPS: storeCallsPerSecond, WriteRPS: writesPerSecond, ValueKB: valueLimitKB, TxnOps: operationsLimit}
	params.Cloud.RPS, params.Cloud.ListLagS = cloudCallsPerSecond, cloudListLagS
	params.Limits.CPUShare, params.Limits.MemMB, params.Limits.MaxConnections = processorShare, memoryMB, maxConnections
	return s
}

// controllerAddresses finds addresses for controllers that nothing listens on: on
// the loopback address of this process. A controller that is down leaves its
// addresses free, and every connection that is opened meanwhile, by any program,
// may get one of the ports of 127.0.0.1. Guards against a controller that could
// not start again, or a stranger that answered in its place.
func controllerAddresses(count int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener // all stay open until all are found, so that no two are the same
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

// processLoopback is the loopback address of a process: one of 127.1.0.0 to
// 127.64.255.255, by the 22 bits that its id has at most.
func processLoopback(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// listenLoopback opens a listener on a free loopback address.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// errNotReady means that the controllers did not begin to serve.
var errNotReady = errors.New("the controllers do not serve")

// settingsMode is the file mode of settings files and logs.
const settingsMode = 0o600

// Cluster is a deployment with its stand-ins and the controllers as processes.
type Cluster struct {
	Site    Site
	Record  *Record
	Options *WorkerOptions
	Cloud   *Cloud
	State   *State
	Users   *Users
	Gates   []*Gate // from each controller to the state service

	dir         string
	root        string
	listeners   []net.Listener
	controllers []*controller
}

// controller is the process of one controller.
type controller struct {
	label, bind, peers string
	settings           string // path
	mu                 sync.Mutex
	command            *exec.Cmd
	ended              chan struct{}
}

// NewCluster starts the stand-ins of a site, and prepares the controllers. root is the root of the repository.
func NewCluster(root string, site Site, boot time.Duration, record *Record) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "wheatspur-review-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Site: site, Record: record, dir: dir, root: root}
	for i, label := range site.Labels {
		bind, peers, err := freeAddresses(i)
		if err != nil {
			return c, err
		}
		c.controllers = append(c.controllers, &controller{label: label, bind: bind, peers: peers, settings: filepath.Join(dir, label+".toml")})
	}
	c.Users = newUsers(c.nodes(), record)
	c.Options = &WorkerOptions{Nodes: c.nodes(), ReportS: site.ReportS, LeaseS: site.LeaseS, FetchGBs: site.FetchGBs, Record: record, Spec: c.Users.Spec}
	c.State = NewState(site.State)
	c.Cloud = NewCloud(site.Types, site.Capacity, boot, time.Duration(site.ListLagS*float64(time.Second)), site.CloudRPS, c.Options)
	cloud, err := c.serve(c.Cloud)
	if err != nil {
		return c, err
	}
	for i := range c.controllers {
		gate := &Gate{service: c.State, node: c.controllers[i].label, record: record}
		c.Gates = append(c.Gates, gate)
		state, err := c.serve(gate)
		if err != nil {
			return c, err
		}
		if err := c.writeSettings(i, state, cloud); err != nil {
			return c, err
		}
	}
	return c, nil
}

// nodes returns the controllers as workers and users know them.
func (c *Cluster) nodes() []Node {
	var nodes []Node
	for _, p := range c.controllers {
		nodes = append(nodes, Node{p.label, p.bind})
	}
	return nodes
}

// freeAddresses returns two free addresses on a loopback address of this process and the controller.
func freeAddresses(i int) (bind, peers string, err error) {
	host := fmt.Sprintf("127.%d.%d.%d", 65+i, os.Getpid()>>8&0xff, os.Getpid()&0xff)
	var found []string
	for range 2 {
		listener, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return "", "", err
		}
		found = append(found, listener.Addr().String())
		defer func() { _ = listener.Close() }() //revive:disable-line:defer // both stay open until two are found
	}
	return found[0], found[1], nil
}

// serve serves a handler on a free address.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.listeners = append(c.listeners, listener)
	serveOn(listener, handler)
	return listener.Addr().String(), nil
}

// writeSettings writes the settings file of a controller.
func (c *Cluster) writeSettings(i int, state, cloud string) error {
	site, own := &c.Site, c.controllers[i]
	var siblings, teams []map[string]any
	for j, other := range c.controllers {
		if j != i {
			siblings = append(siblings, map[string]any{"label": other.label, "domain": site.Domains[j], "endpoint": other.peers})
		}
	}
	for _, team := range site.Teams {
		teams = append(teams, map[string]any{"name": team.Name, "cpus": team.CPUs, "cpus_max": team.CPUsMax, "gpus": team.GPUs, "gpus_max": team.GPUsMax})
	}
	text, err := toml.Marshal(map[string]any{
		"label": own.label, "domain": site.Domains[i], "bind": own.bind, "peer_listen": own.peers,
		"siblings":  siblings,
		"endpoints": map[string]any{"cloud": cloud, "state": state},
		"params": map[string]any{
			"count": len(c.controllers), "zones": site.Zones, "time_bound_ms": 25.0, "teams": teams,
			"workers": map[string]any{"report_s": site.ReportS, "lease_s": site.LeaseS, "cancel_s": site.CancelS, "gang_wait_s": 50.0, "gang_peer_s": 8.0},
			"state":   map[string]any{"rps": site.State.RPS, "write_rps": site.State.WriteRPS, "value_kb": site.State.ValueKB, "txn_ops": site.State.TxnOps},
			"cloud":   map[string]any{"rps": site.CloudRPS, "list_lag_s": site.ListLagS},
			"limits":  map[string]any{"cpu_share": site.CPUShare, "mem_mb": site.MemoryMB, "max_connections": site.Sockets},
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(own.settings, text, settingsMode)
}

// runCommand returns the words of the command in the deploy file that starts a controller.
func (c *Cluster) runCommand() ([]string, error) {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		return nil, err
	}
	return strings.Fields(deploy.Run), nil
}

// StartController starts the process of controller i.
func (c *Cluster) StartController(i int) error {
	words, err := c.runCommand()
	if err != nil {
		return err
	}
	p := c.controllers[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.dir, p.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	p.command = exec.Command(words[0], append(words[1:], p.settings)...)
	p.command.Dir, p.command.Stderr = c.root, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		p.command = nil
		return err
	}
	ended, command := make(chan struct{}), p.command
	p.ended = ended
	go func() {
		defer close(ended)
		_ = command.Wait() // the result of a process that was killed
	}()
	c.Record.Printf("controller %s starts", p.label)
	return nil
}

// Kill kills the process of controller i and waits for its end.
func (c *Cluster) Kill(i int) {
	p := c.controllers[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill() // it fails if the process has ended
	<-p.ended
	p.command = nil
	c.Record.Printf("controller %s is killed", p.label)
}

// StartAll starts all controllers and waits until all are healthy.
func (c *Cluster) StartAll(limit time.Duration) error {
	all := make([]int, len(c.controllers))
	for i := range all {
		all[i] = i
	}
	return c.Start(limit, all...)
}

// Start starts some controllers and waits until they are healthy.
func (c *Cluster) Start(limit time.Duration, which ...int) error {
	for _, i := range which {
		if err := c.StartController(i); err != nil {
			return err
		}
	}
	client := NewClient()
	defer client.CloseIdle()
	deadline := time.Now().Add(limit)
	for _, i := range which {
		p := c.controllers[i]
		for {
			if status, _ := client.Do(http.MethodGet, p.bind, "/up", nil, time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// WaitFor waits until a condition holds and reports whether it did within the limit.
func WaitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Close ends all processes and stand-ins, and removes the temporary folder unless it is to be kept.
func (c *Cluster) Close() {
	for i := range c.controllers {
		c.Kill(i)
	}
	if c.Cloud != nil {
		c.Cloud.Close()
	}
	for _, listener := range c.listeners {
		_ = listener.Close() // nothing can be done about an error
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir) // what is left is in the temporary folder
	} else {
		fmt.Fprintln(os.Stderr, "kept:", c.dir)
	}
}

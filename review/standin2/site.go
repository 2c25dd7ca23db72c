package standin2

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wheatspur/wire"
)

// Settings of all sites, as in the brief of the plant counters, as far as a case does not set them.
const (
	nodeCount     = 3
	reportS       = 3.0
	leaseS        = 38.0
	cancelS       = 58.0
	fetchTime     = 300 * time.Millisecond
	startDeadline = 30 * time.Second
)

// Options are what a case sets of its site.
type Options struct {
	MachineType wire.MachineType
	Capacity    int // machines that the cloud has in all
	Teams       []Team
	Production  int // how many controllers, the first ones, still run the version in production
}

// Team is a team of the settings, with its guarantee and its limit in GPUs.
type Team struct {
	Name            string
	GPUs, GPUsLimit float64
}

// Site is a small deployment: controllers as separate processes, and stand-ins for all else.
type Site struct {
	Record *Record
	Cloud  *Cloud
	Options

	nodes  []*Node
	checks *checks
	dir    string

	mu   sync.Mutex // guards the jobs
	jobs map[string]*Job

	processes sync.Mutex // guards the nodes' processes
}

// Node is a controller process.
type Node struct {
	Label   string
	Address string // for users and workers
	State   *Link  // its way to the state service

	peerAddress string
	root        string // of the version that it runs
	process     *exec.Cmd
}

// Start starts a site. root is the repository, which holds the built program.
func Start(root string, record *Record, options Options) (*Site, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, Options: options, checks: newChecks(record), dir: dir, jobs: map[string]*Job{}}
	s.Cloud = newCloud(s)
	return s, s.start(root)
}

func (s *Site) start(root string) error {
	cloudAddress, err := listenAndServe(s.Cloud)
	if err != nil {
		return err
	}
	stateAddress, err := listenAndServe(newState())
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(2 * nodeCount)
	if err != nil {
		return err
	}
	for i := range nodeCount {
		node := &Node{Label: fmt.Sprintf("kheti-%d", i), root: root}
		if i < s.Production {
			node.root = filepath.Join(root, "target", "review", "production")
		}
		if node.State, err = NewLink(stateAddress); err != nil {
			return err
		}
		node.Address, node.peerAddress = addresses[2*i], addresses[2*i+1]
		s.nodes = append(s.nodes, node)
	}
	for _, node := range s.nodes {
		if err := s.startNode(node, cloudAddress); err != nil {
			return err
		}
	}
	return s.awaitUp()
}

// runCommand returns the command of the deploy file that starts a controller.
func runCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		return nil, err
	}
	command := strings.Fields(deploy.Run)
	if len(command) == 0 {
		return nil, errors.New("the deploy file has no command that starts the service")
	}
	return command, nil
}

// freeAddresses returns loopback addresses with different ports that were free. Their host is this
// process's own, so that no other one takes a port meanwhile.
func freeAddresses(count int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", host)
		if err != nil {
			return nil, err
		}
		//revive:disable-next-line:defer // all stay open until the last is chosen, so that all differ
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startNode writes a controller's settings and starts its process.
func (s *Site) startNode(node *Node, cloudAddress string) error {
	command, err := runCommand(node.root)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, node.Label+".toml")
	if err := os.WriteFile(path, []byte(s.settings(node, cloudAddress)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, node.Label+".log"))
	if err != nil {
		return err
	}
	arguments := append(append([]string{}, command[1:]...), path)
	node.process = exec.CommandContext(context.Background(), filepath.Join(node.root, command[0]), arguments...)
	node.process.Dir, node.process.Stderr = node.root, log
	node.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	node.process.Env = append(os.Environ(), "LOG_LEVEL=debug")
	return node.process.Start()
}

// settings returns a controller's settings file.
func (s *Site) settings(node *Node, cloudAddress string) string {
	var b strings.Builder
	write := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	write("label = %q\ndomain = %q\nbind = %q\npeer_listen = %q", node.Label, s.MachineType.Zones[0], node.Address, node.peerAddress)
	for _, other := range s.nodes {
		if other != node {
			write("[[siblings]]\nlabel = %q\ndomain = %q\nendpoint = %q", other.Label, s.MachineType.Zones[0], other.peerAddress)
		}
	}
	write("[endpoints]\ncloud = %q\nstate = %q", cloudAddress, node.State.Address)
	write("[params]\ncount = %d\nzones = [%q]\ntime_bound_ms = 25.0", nodeCount, s.MachineType.Zones[0])
	for _, team := range s.Teams {
		write("[[params.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f", team.Name, team.GPUs, team.GPUsLimit)
	}
	write("[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = %.1f", reportS, leaseS, cancelS)
	write("[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d", stateCallsPerSecond, stateWritesPerSecond, stateValueKB, stateTxnOps)
	write("[params.cloud]\nrps = %.1f\nlist_lag_s = 4.0", cloudCallsPerSecond)
	write("[params.limits]\ncpu_share = 0.18\nmem_mb = 179.0\nmax_connections = 2000")
	return b.String()
}

// awaitUp waits until all controllers are healthy.
func (s *Site) awaitUp() error {
	client := newClient(time.Second)
	defer client.CloseIdleConnections()
	for begun := time.Now(); time.Since(begun) < startDeadline; time.Sleep(100 * time.Millisecond) {
		up := 0
		for _, node := range s.nodes {
			if status, _ := send(client, "GET", node.Address, "/up", nil); status == 200 {
				up++
			}
		}
		if up == len(s.nodes) {
			s.Record.Log("all controllers are up")
			return nil
		}
	}
	return errors.New("the controllers did not come up")
}

// Node returns the controller with a label, nil if there is none.
func (s *Site) Node(label string) *Node {
	for _, node := range s.nodes {
		if node.Label == label {
			return node
		}
	}
	return nil
}

// Kill ends a controller's process.
func (s *Site) Kill(node *Node) {
	s.processes.Lock()
	defer s.processes.Unlock()
	if node.process == nil || node.process.Process == nil {
		return
	}
	s.Record.Log("%s is killed", node.Label)
	_ = node.process.Process.Kill()
	_ = node.process.Wait()
	node.process = nil
}

// Stop ends all processes. With keep it leaves their settings and logs.
func (s *Site) Stop() {
	for _, node := range s.nodes {
		s.Kill(node)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// Running returns the machines that a task is on.
func (s *Site) Running(task string) []string { return s.checks.running(task) }

// HasBegun reports whether any task of a job has run.
func (s *Site) HasBegun(jobID string) bool { return s.checks.hasBegun(jobID) }

// Violations returns what the workers saw that breaks a rule.
func (s *Site) Violations() []string { return s.checks.all() }

// Await waits until a condition holds, and reports whether it did in time.
func Await(limit time.Duration, condition func() bool) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// TaskName returns the name of a job's task.
func TaskName(jobID string, task int) string { return fmt.Sprintf("%s/%d", jobID, task) }

// Attempt returns the number of the newest attempt of a task that is on a machine; 0: none is.
func (s *Site) Attempt(task string) uint64 { return s.checks.attempt(task) }

// AllRun reports whether all tasks of a job are on machines.
func (s *Site) AllRun(spec wire.JobSpec) bool {
	for i := range spec.Tasks {
		if len(s.Running(TaskName(spec.ID, i))) == 0 {
			return false
		}
	}
	return true
}

// WithRoom returns the machines that have room for a task of a job.
func (s *Site) WithRoom(spec wire.JobSpec) []string {
	var names []string
	for _, worker := range s.Cloud.Workers() {
		if cpus, cards, ramGB := worker.Free(); spec.CPUs <= cpus && spec.GPUs <= cards && spec.RAMGB <= ramGB {
			names = append(names, worker.Name)
		}
	}
	return names
}

// AnyRuns reports whether any task of a job is on a machine.
func (s *Site) AnyRuns(spec wire.JobSpec) bool {
	for i := range spec.Tasks {
		if len(s.Running(TaskName(spec.ID, i))) > 0 {
			return true
		}
	}
	return false
}

// Package wire holds the public wire formats of wheatspur: the CBOR bodies
// that users, workers, the cloud and the state service exchange with the
// controllers. Clients may import it; nothing in it depends on the rest of
// the program.
//
// Names in Go are the field's terms. The protocol's own words (shard, rig,
// plot, baton, ...) stand in the cbor tags and in the values of constants.
package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest request or response body in bytes, as JSON.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

// ContentType is sent with every body.
const ContentType = "application/cbor"

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	var err error
	if enc, err = (cbor.EncOptions{}).EncMode(); err != nil {
		panic(err)
	}
	opts := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		MaxMapPairs: 1 << 17, MaxArrayElements: 1 << 17, MaxNestedLevels: 16,
	}
	if dec, err = opts.DecMode(); err != nil {
		panic(err)
	}
}

// Raw is an undecoded CBOR value.
type Raw = cbor.RawMessage

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return enc.Marshal(v) }

// MustMarshal encodes a value that is known to be encodable.
func MustMarshal(v any) []byte {
	b, err := enc.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return b
}

// Unmarshal decodes one CBOR value into v and refuses trailing bytes.
func Unmarshal(b []byte, v any) error { return dec.Unmarshal(b, v) }

// Kinds of jobs.
const (
	KindArray   = "array"
	KindService = "standing"
	// KindGang is an array whose tasks only run all at once. The protocol's
	// text does not describe it; see docs/questions.md.
	KindGang = "gang"
)

// Priorities of jobs, highest first.
const (
	PriorityCritical = "critical"
	PriorityUrgent   = "urgent"
	PriorityNormal   = "normal"
	PriorityLow      = "low"
)

// States of jobs.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "cancelled"
)

// States of tasks in reports.
const (
	TaskPulling       = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskExited        = "exited"
)

// Causes of the exit of a task.
const (
	ExitCauseDone    = "done"
	ExitCauseStopped = "stopped"
	ExitCauseError   = "error"
	ExitCauseNoRoom  = "no_room"
	ExitCauseInUse   = "in_use"
	ExitCauseUnknown = "unknown"
)

// Verbs of commands.
const (
	VerbStart = "start"
	VerbKill  = "kill"
	VerbReap  = "reap"
)

// States of machines in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// JobSpec describes a job: the body of POST /work. Its JSON form is what the
// state service counts.
type JobSpec struct {
	ID                  string   `cbor:"ref" json:"ref"`
	Class               string   `cbor:"cohort" json:"cohort"`
	Team                string   `cbor:"crew" json:"crew"`
	Kind                string   `cbor:"shape" json:"shape"`
	Priority            string   `cbor:"rank" json:"rank"`
	Tasks               int      `cbor:"shards" json:"shards"`
	CPUs                float64  `cbor:"cpus" json:"cpus"`
	GPUs                float64  `cbor:"cards" json:"cards"`
	RAMGB               float64  `cbor:"ram_gb" json:"ram_gb"`
	Image               string   `cbor:"bundle" json:"bundle"`
	ImageGB             float64  `cbor:"image_gb" json:"image_gb"`
	MachineTypes        []string `cbor:"rigs" json:"rigs"`
	Zone                *string  `cbor:"plot" json:"plot"`
	SameZone            bool     `cbor:"together" json:"together"`
	SpreadZones         bool     `cbor:"apart" json:"apart"`
	Spot                bool     `cbor:"windfall" json:"windfall"`
	EstimateS           float64  `cbor:"reckon_s" json:"reckon_s"`
	CheckpointIntervalS float64  `cbor:"stake_s" json:"stake_s"`
	CheckpointWriteS    float64  `cbor:"stash_s" json:"stash_s"`
	DeadlineS           *float64 `cbor:"due_s" json:"due_s"`
	// DependsOn names the jobs that have to be done before any task starts;
	// absent or null: none.
	DependsOn []string `cbor:"awaits,omitempty" json:"awaits"`
}

// requiredFields lists the keys that a submission must carry; rigs, plot, due_s
// and awaits may be null and so may be absent.
var requiredFields = []string{
	"ref", "cohort", "crew", "shape", "rank", "shards", "cpus", "cards", "ram_gb",
	"bundle", "image_gb", "together", "apart", "windfall", "reckon_s", "stake_s", "stash_s",
}

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether s has the form of a job id.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// ErrMalformed is the kind of every error of DecodeJobSpec.
var ErrMalformed = errors.New("malformed")

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
}

// DecodeJobSpec decodes and checks the body of POST /work.
func DecodeJobSpec(b []byte) (JobSpec, error) {
	var w JobSpec
	if len(b) > MaxBody {
		return w, malformed("body over %d bytes", MaxBody)
	}
	var fields map[string]Raw
	if err := Unmarshal(b, &fields); err != nil || fields == nil {
		return w, malformed("not a CBOR map")
	}
	for _, f := range requiredFields {
		if v, ok := fields[f]; !ok || len(v) == 1 && v[0] >= 0xf6 {
			return w, malformed("%s is missing", f)
		}
	}
	if err := Unmarshal(b, &w); err != nil {
		return w, malformed("%v", err)
	}
	// A null among the texts would be read as an empty one.
	var names []*string
	if raw, ok := fields["awaits"]; ok && (Unmarshal(raw, &names) != nil || slices.Contains(names, nil)) {
		return w, malformed("awaits is not a list of texts")
	}
	return w, w.check()
}

func (w *JobSpec) check() error {
	switch {
	case !ValidJobID(w.ID):
		return malformed("ref %q is not a job id", w.ID)
	case w.Class == "" || len(w.Class) > 200:
		return malformed("cohort is invalid")
	case w.Team == "" || len(w.Team) > 100:
		return malformed("crew is invalid")
	case w.Kind != KindArray && w.Kind != KindService && w.Kind != KindGang:
		return malformed("shape %q is unknown", w.Kind)
	case w.Priority != PriorityCritical && w.Priority != PriorityUrgent && w.Priority != PriorityNormal && w.Priority != PriorityLow:
		return malformed("rank %q is unknown", w.Priority)
	case w.Tasks < 1 || w.Tasks > MaxTasks:
		return malformed("shards %d is out of range", w.Tasks)
	case w.Image == "" || len(w.Image) > 200:
		return malformed("bundle is invalid")
	case len(w.MachineTypes) > 32:
		return malformed("rigs names too many types")
	}
	for _, r := range w.MachineTypes {
		if r == "" || len(r) > 100 {
			return malformed("rigs is invalid")
		}
	}
	if w.Zone != nil && (*w.Zone == "" || len(*w.Zone) > 100) {
		return malformed("plot is invalid")
	}
	for _, a := range []struct {
		name string
		v    float64
	}{{"cpus", w.CPUs}, {"cards", w.GPUs}, {"ram_gb", w.RAMGB}, {"image_gb", w.ImageGB},
		{"reckon_s", w.EstimateS}, {"stake_s", w.CheckpointIntervalS}, {"stash_s", w.CheckpointWriteS}} {
		if !(a.v >= 0) || math.IsInf(a.v, 0) || a.v > 1e9 {
			return malformed("%s is out of range", a.name)
		}
	}
	if w.DeadlineS != nil && (!(*w.DeadlineS >= 0) || *w.DeadlineS > 1e9) {
		return malformed("due_s is out of range")
	}
	return nil
}

// JobStatus answers a submission, a poll or a cancellation.
type JobStatus struct {
	ID      string `cbor:"ref"`
	State   string `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// ErrorResponse is the body of every refusal.
type ErrorResponse struct {
	Error string `cbor:"error"`
}

// TaskStatus is one attempt of a task in a worker's report.
type TaskStatus struct {
	Task         string `cbor:"shard"`
	Attempt      uint64 `cbor:"try"`
	State        string `cbor:"phase"`
	ExitCause    string `cbor:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty"`
}

// Heartbeat is the body of POST /checkin: what a worker runs. Session numbers the
// worker's sessions, Sequence the reports of a session, and Token is the highest
// that the worker has seen.
type Heartbeat struct {
	Machine            string       `cbor:"host"`
	Address            string       `cbor:"address"`
	MachineType        string       `cbor:"rig"`
	Zone               string       `cbor:"plot"`
	Spot               bool         `cbor:"windfall"`
	Incarnation        uint64       `cbor:"stint"`
	Sequence           uint64       `cbor:"tally"`
	FencingToken       uint64       `cbor:"baton"`
	TerminationNoticeS *float64     `cbor:"warning_s"`
	Tasks              []TaskStatus `cbor:"shards"`
}

// Command is one command about one attempt of a task.
type Command struct {
	Verb         string   `cbor:"verb"`
	Task         string   `cbor:"shard"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty"`
}

// HeartbeatResponse answers a report; it renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest is the body of POST /commands at a worker.
type CommandRequest struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"stint"`
	Commands     []Command `cbor:"orders"`
}

// Redirect answers a report that another node should handle; it names that
// node, if it is known.
type Redirect struct {
	Node string `cbor:"foreman,omitempty"`
}

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Label       string   `cbor:"label"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"cards"`
	RAMGB       float64  `cbor:"ram_gb"`
	LocalGB     float64  `cbor:"local_gb"`
	FetchGBPerS float64  `cbor:"fetch_gb_per_s"`
	Price       float64  `cbor:"price"`
	SpotPrice   float64  `cbor:"spot_price"`
	StartupS    float64  `cbor:"startup_s"`
	Zones       []string `cbor:"plots"`
}

// MachineTypes answers GET /machine_types.
type MachineTypes struct {
	Types []MachineType `cbor:"rigs"`
}

// ScaleOutRequest is the body of POST /hosts. A name is used once.
type ScaleOutRequest struct {
	Name        string `cbor:"hire"`
	MachineType string `cbor:"rig"`
	Zone        string `cbor:"plot"`
	Spot        bool   `cbor:"windfall"`
	Count       int    `cbor:"number"`
}

// MachineNames is a list of machines by name.
type MachineNames struct {
	Machines []string `cbor:"hosts"`
}

// Machine is one machine in the cloud's list.
type Machine struct {
	Name        string  `cbor:"ref"`
	Address     string  `cbor:"address"`
	MachineType string  `cbor:"rig"`
	Zone        string  `cbor:"plot"`
	Spot        bool    `cbor:"windfall"`
	State       string  `cbor:"phase"`
	AgeS        float64 `cbor:"held_s"`
}

// MachinePage answers GET /hosts.
type MachinePage struct {
	Machines  []Machine `cbor:"hosts"`
	Truncated bool      `cbor:"truncated"`
}

// KeyValue is one key of the state service, with its value and its version.
type KeyValue struct {
	Key     string `cbor:"key"`
	Value   Raw    `cbor:"v"`
	Version uint64 `cbor:"stamp"`
}

// ListResponse answers GET /keys.
type ListResponse struct {
	KeyValues []KeyValue `cbor:"pairs"`
	Truncated bool       `cbor:"truncated"`
	Revision  uint64     `cbor:"epoch"`
}

// Compare is one condition of a transaction: the key has this version.
type Compare struct {
	Key     string `cbor:"key"`
	Version uint64 `cbor:"stamp"`
}

// Operation is one change of a transaction: a set or a drop.
type Operation struct {
	Put     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"v,omitempty"`
	LeaseID uint64 `cbor:"tenure,omitempty"`
	Delete  string `cbor:"drop,omitempty"`
}

// Transaction is the body of POST /multi: changes that are made if all guards
// hold.
type Transaction struct {
	Compares   []Compare   `cbor:"guards"`
	Operations []Operation `cbor:"then"`
}

// TransactionResult answers a transaction.
type TransactionResult struct {
	Revision       uint64   `cbor:"epoch"`
	FailedCompares []string `cbor:"failed"`
	Error          string   `cbor:"error"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs uint64 `cbor:"ttl_ms"`
}

// LeaseResponse answers a request for a lease.
type LeaseResponse struct {
	ID uint64 `cbor:"tenure"`
}

// WatchEvent is one change in a watch response.
type WatchEvent struct {
	Put     string `cbor:"set"`
	Value   Raw    `cbor:"v"`
	Delete  string `cbor:"drop"`
	Version uint64 `cbor:"stamp"`
}

// WatchResponse answers GET /watch.
type WatchResponse struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"events"`
}

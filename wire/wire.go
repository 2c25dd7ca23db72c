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
	TaskPulling  = "pulling"
	TaskRunning  = "running"
	TaskFlushing = "flushing"
	TaskExited   = "exited"
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
	HostStarting = "starting"
	HostRunning  = "running"
	HostFailed   = "failed"
)

// JobSpec describes a job: the body of POST /work. Its JSON form is what the
// state service counts.
type JobSpec struct {
	ID           string   `cbor:"ref" json:"ref"`
	Class        string   `cbor:"cohort" json:"cohort"`
	Team         string   `cbor:"crew" json:"crew"`
	Kind         string   `cbor:"shape" json:"shape"`
	Priority     string   `cbor:"rank" json:"rank"`
	Tasks        int      `cbor:"shards" json:"shards"`
	CPUs         float64  `cbor:"cpus" json:"cpus"`
	GPUs         float64  `cbor:"cards" json:"cards"`
	RAMGB        float64  `cbor:"ram_gb" json:"ram_gb"`
	Image        string   `cbor:"bundle" json:"bundle"`
	ImageGB      float64  `cbor:"image_gb" json:"image_gb"`
	MachineTypes []string `cbor:"rigs" json:"rigs"`
	Zone         *string  `cbor:"plot" json:"plot"`
	SameZone     bool     `cbor:"together" json:"together"`
	SpreadZones  bool     `cbor:"apart" json:"apart"`
	Spot         bool     `cbor:"windfall" json:"windfall"`
	EstimateS    float64  `cbor:"reckon_s" json:"reckon_s"`
	CheckpointS  float64  `cbor:"stake_s" json:"stake_s"`
	SaveS        float64  `cbor:"stash_s" json:"stash_s"`
	DeadlineS    *float64 `cbor:"due_s" json:"due_s"`
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
		{"reckon_s", w.EstimateS}, {"stake_s", w.CheckpointS}, {"stash_s", w.SaveS}} {
		if !(a.v >= 0) || math.IsInf(a.v, 0) || a.v > 1e9 {
			return malformed("%s is out of range", a.name)
		}
	}
	if w.DeadlineS != nil && (!(*w.DeadlineS >= 0) || *w.DeadlineS > 1e9) {
		return malformed("due_s is out of range")
	}
	return nil
}

// Status answers a submission, a poll or a cancellation.
type Status struct {
	ID      string `cbor:"ref"`
	State   string `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Failure is the body of every refusal.
type Failure struct {
	Error string `cbor:"error"`
}

// TaskReport is one attempt of a task in a worker's report.
type TaskReport struct {
	Task      string `cbor:"shard"`
	Attempt   uint64 `cbor:"try"`
	State     string `cbor:"phase"`
	ExitCause string `cbor:"cause,omitempty"`
	Saved     bool   `cbor:"saved,omitempty"`
}

// Report is the body of POST /checkin: what a worker runs. Session numbers the
// worker's sessions, Sequence the reports of a session, and Token is the highest
// that the worker has seen.
type Report struct {
	Host        string       `cbor:"host"`
	Address     string       `cbor:"address"`
	MachineType string       `cbor:"rig"`
	Zone        string       `cbor:"plot"`
	Spot        bool         `cbor:"windfall"`
	Session     uint64       `cbor:"stint"`
	Sequence    uint64       `cbor:"tally"`
	Token       uint64       `cbor:"baton"`
	NoticeS     *float64     `cbor:"warning_s"`
	Tasks       []TaskReport `cbor:"shards"`
}

// Command is one command about one attempt of a task.
type Command struct {
	Verb         string   `cbor:"verb"`
	Task         string   `cbor:"shard"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty"`
}

// ReportResponse answers a report; it renews the worker's lease.
type ReportResponse struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// CommandRequest is the body of POST /commands at a worker.
type CommandRequest struct {
	Token    uint64    `cbor:"baton"`
	Session  uint64    `cbor:"stint"`
	Commands []Command `cbor:"orders"`
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

// RentRequest is the body of POST /hosts. A name is used once.
type RentRequest struct {
	Name        string `cbor:"hire"`
	MachineType string `cbor:"rig"`
	Zone        string `cbor:"plot"`
	Spot        bool   `cbor:"windfall"`
	Count       int    `cbor:"number"`
}

// HostNames is a list of machines by name.
type HostNames struct {
	Hosts []string `cbor:"hosts"`
}

// Host is one machine in the cloud's list.
type Host struct {
	Name        string  `cbor:"ref"`
	Address     string  `cbor:"address"`
	MachineType string  `cbor:"rig"`
	Zone        string  `cbor:"plot"`
	Spot        bool    `cbor:"windfall"`
	State       string  `cbor:"phase"`
	AgeS        float64 `cbor:"held_s"`
}

// HostPage answers GET /hosts.
type HostPage struct {
	Hosts     []Host `cbor:"hosts"`
	Truncated bool   `cbor:"truncated"`
}

// Pair is one key of the state service, with its value and its version.
type Pair struct {
	Key     string `cbor:"key"`
	Value   Raw    `cbor:"v"`
	Version uint64 `cbor:"stamp"`
}

// Pairs answers GET /keys.
type Pairs struct {
	Pairs     []Pair `cbor:"pairs"`
	Truncated bool   `cbor:"truncated"`
	Revision  uint64 `cbor:"epoch"`
}

// Guard is one condition of a transaction: the key has this version.
type Guard struct {
	Key     string `cbor:"key"`
	Version uint64 `cbor:"stamp"`
}

// Change is one change of a transaction: a set or a drop.
type Change struct {
	Set     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"v,omitempty"`
	LeaseID uint64 `cbor:"tenure,omitempty"`
	Drop    string `cbor:"drop,omitempty"`
}

// Transaction is the body of POST /multi: changes that are made if all guards
// hold.
type Transaction struct {
	Guards  []Guard  `cbor:"guards"`
	Changes []Change `cbor:"then"`
}

// TransactionResult answers a transaction.
type TransactionResult struct {
	Revision uint64   `cbor:"epoch"`
	Failed   []string `cbor:"failed"`
	Error    string   `cbor:"error"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs uint64 `cbor:"ttl_ms"`
}

// Lease answers a request for a lease.
type Lease struct {
	ID uint64 `cbor:"tenure"`
}

// Event is one change in a watch response.
type Event struct {
	Set     string `cbor:"set"`
	Value   Raw    `cbor:"v"`
	Drop    string `cbor:"drop"`
	Version uint64 `cbor:"stamp"`
}

// Events answers GET /watch.
type Events struct {
	Revision uint64  `cbor:"epoch"`
	Events   []Event `cbor:"events"`
}

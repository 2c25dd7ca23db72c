package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

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

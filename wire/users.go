package wire

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

// Kinds of jobs.
const (
	KindArray   = "array"
	KindService = "standing"
	// KindGang asks for gang scheduling: all of its tasks run at once or none
	// does. The protocol's text does not describe it; see docs/questions.md.
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

// JobSpec describes a job: the body of POST /work. The size of its JSON form is
// what counts against the value limit of the key-value store, so the json tags
// and the order of the fields stay as they are.
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

// Bounds on the fields of a submission: lengths in bytes, amounts in their units.
const (
	maxClassLength       = 200
	maxTeamLength        = 100
	maxImageLength       = 200
	maxMachineTypes      = 32
	maxMachineTypeLength = 100
	maxZoneLength        = 100
	maxAmount            = 1e9
)

// firstSimpleNull is CBOR's null. As a value of one byte, it and everything
// above it (undefined, and what has no meaning alone) carries nothing.
const firstSimpleNull = 0xf6

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether s has the form of a job id.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// ErrMalformed is the kind of every error of DecodeJobSpec.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// DecodeJobSpec decodes and checks the body of POST /work.
func DecodeJobSpec(body []byte) (JobSpec, error) {
	var spec JobSpec
	if len(body) > MaxBody {
		return spec, malformed("body over %d bytes", MaxBody)
	}
	var fields map[string]Raw
	if err := Unmarshal(body, &fields); err != nil || fields == nil {
		return spec, malformed("not a CBOR map")
	}
	if err := checkRequired(fields); err != nil {
		return spec, err
	}
	if err := Unmarshal(body, &spec); err != nil {
		return spec, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	// The decoder reads a null among the job ids as an empty text.
	var dependsOn []*string
	if raw, ok := fields["awaits"]; ok && (Unmarshal(raw, &dependsOn) != nil || slices.Contains(dependsOn, nil)) {
		return spec, malformed("awaits is not a list of texts")
	}
	return spec, spec.check()
}

// checkRequired tells an absent or null field from one that holds the zero
// value, which decoding alone does not.
func checkRequired(fields map[string]Raw) error {
	for _, name := range requiredFields {
		if value, ok := fields[name]; !ok || len(value) == 1 && value[0] >= firstSimpleNull {
			return malformed("%s is missing", name)
		}
	}
	return nil
}

// check returns the first fault; which of several is reported, too, is part of
// what users see.
func (s *JobSpec) check() error {
	if err := s.checkTexts(); err != nil {
		return err
	}
	return s.checkAmounts()
}

func (s *JobSpec) checkTexts() error {
	switch {
	case !ValidJobID(s.ID):
		return malformed("ref %q is not a job id", s.ID)
	case !lengthWithin(s.Class, maxClassLength):
		return malformed("cohort is invalid")
	case !lengthWithin(s.Team, maxTeamLength):
		return malformed("crew is invalid")
	case !slices.Contains([]string{KindArray, KindService, KindGang}, s.Kind):
		return malformed("shape %q is unknown", s.Kind)
	case !slices.Contains([]string{PriorityCritical, PriorityUrgent, PriorityNormal, PriorityLow}, s.Priority):
		return malformed("rank %q is unknown", s.Priority)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return malformed("shards %d is out of range", s.Tasks)
	case !lengthWithin(s.Image, maxImageLength):
		return malformed("bundle is invalid")
	case len(s.MachineTypes) > maxMachineTypes:
		return malformed("rigs names too many types")
	}
	for _, machineType := range s.MachineTypes {
		if !lengthWithin(machineType, maxMachineTypeLength) {
			return malformed("rigs is invalid")
		}
	}
	if s.Zone != nil && !lengthWithin(*s.Zone, maxZoneLength) {
		return malformed("plot is invalid")
	}
	return nil
}

// lengthWithin reports whether a text is present and at most longest bytes long.
func lengthWithin(text string, longest int) bool { return text != "" && len(text) <= longest }

func (s *JobSpec) checkAmounts() error {
	for _, field := range []struct {
		name   string
		amount float64
	}{{"cpus", s.CPUs}, {"cards", s.GPUs}, {"ram_gb", s.RAMGB}, {"image_gb", s.ImageGB},
		{"reckon_s", s.EstimateS}, {"stake_s", s.CheckpointIntervalS}, {"stash_s", s.CheckpointWriteS}} {
		if !validAmount(field.amount) {
			return malformed("%s is out of range", field.name)
		}
	}
	if s.DeadlineS != nil && !validAmount(*s.DeadlineS) {
		return malformed("due_s is out of range")
	}
	return nil
}

// validAmount is false for NaN and the infinities, too.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// JobStatus answers a submission, a poll or a cancellation.
type JobStatus struct {
	ID      string `cbor:"ref"`
	State   string `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// ErrorResponse is the body of every refused request; Error is meant for the user.
type ErrorResponse struct {
	Error string `cbor:"error"`
}

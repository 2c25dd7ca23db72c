package wire

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Job kinds.
const (
	KindArray   = "array"
	KindService = "standing"
	// KindGang requests gang scheduling: either all tasks of the job run at once or none does. The
	// protocol specification does not describe it; see docs/questions.md.
	KindGang = "gang"
)

// Job priorities, highest first.
const (
	PriorityCritical = "critical"
	PriorityUrgent   = "urgent"
	PriorityNormal   = "normal"
	PriorityLow      = "low"
)

// Job states.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "cancelled"
)

// JobSpec is the description of a job and the body of POST /work. The size of its JSON form counts
// against the value size limit of the key-value store, so the json tags and the order of the fields
// must not change.
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
	// DependsOn lists the IDs of the jobs that must be done before any task starts. Absent or null
	// means none.
	DependsOn []string `cbor:"awaits,omitempty" json:"awaits"`
}

// requiredFields lists the keys that a submission must have. The others (rigs, plot, due_s and
// awaits) may be null or absent.
var requiredFields = []string{
	"ref", "cohort", "crew", "shape", "rank", "shards", "cpus", "cards", "ram_gb",
	"bundle", "image_gb", "together", "apart", "windfall", "reckon_s", "stake_s", "stash_s",
}

// Limits on the fields of a submission: lengths in bytes, amounts in the unit of the field.
const (
	maxClassLength       = 200
	maxTeamLength        = 100
	maxImageLength       = 200
	maxMachineTypes      = 32
	maxMachineTypeLength = 100
	maxZoneLength        = 100
	maxAmount            = 1e9
)

// cborNull is the CBOR encoding of null. One-byte values above it are undefined or not valid on their
// own, so they count as null, too.
const cborNull = 0xf6

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether s has the form of a job ID.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// ErrMalformed is wrapped by every error that DecodeJobSpec returns.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// DecodeJobSpec decodes and validates the body of POST /work.
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
	// The decoder turns a null in a list of strings into an empty string, which would hide it.
	var dependsOn []*string
	if raw, ok := fields["awaits"]; ok && (Unmarshal(raw, &dependsOn) != nil || slices.Contains(dependsOn, nil)) {
		return spec, malformed("awaits is not a list of texts")
	}
	return spec, spec.check()
}

// checkRequired returns an error if a required field is absent or null. In a decoded JobSpec such a
// field could not be told from one that holds the zero value.
func checkRequired(fields map[string]Raw) error {
	for _, name := range requiredFields {
		if value, ok := fields[name]; !ok || len(value) == 1 && value[0] >= cborNull {
			return malformed("%s is missing", name)
		}
	}
	return nil
}

// check returns an error for the first invalid field. The order of the checks must not change, since
// users see which of several invalid fields is reported.
func (s *JobSpec) check() error {
	if err := s.checkStrings(); err != nil {
		return err
	}
	return s.checkAmounts()
}

// checkStrings checks the text fields and the number of tasks.
func (s *JobSpec) checkStrings() error {
	switch {
	case !ValidJobID(s.ID):
		return malformed("ref %q is not a job id", s.ID)
	case !validLength(s.Class, maxClassLength):
		return malformed("cohort is invalid")
	case !validLength(s.Team, maxTeamLength):
		return malformed("crew is invalid")
	case !slices.Contains([]string{KindArray, KindService, KindGang}, s.Kind):
		return malformed("shape %q is unknown", s.Kind)
	case !slices.Contains([]string{PriorityCritical, PriorityUrgent, PriorityNormal, PriorityLow}, s.Priority):
		return malformed("rank %q is unknown", s.Priority)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return malformed("shards %d is out of range", s.Tasks)
	case !validLength(s.Image, maxImageLength):
		return malformed("bundle is invalid")
	case len(s.MachineTypes) > maxMachineTypes:
		return malformed("rigs names too many types")
	}
	for _, machineType := range s.MachineTypes {
		if !validLength(machineType, maxMachineTypeLength) {
			return malformed("rigs is invalid")
		}
	}
	if s.Zone != nil && !validLength(*s.Zone, maxZoneLength) {
		return malformed("plot is invalid")
	}
	return nil
}

// validLength reports whether s is not empty and at most maxLength bytes long.
func validLength(s string, maxLength int) bool { return s != "" && len(s) <= maxLength }

// checkAmounts checks the amounts of resources and time.
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

// validAmount reports whether an amount is in range, which NaN and the infinities are not.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// JobStatus answers the submission, a poll or the cancellation of a job.
type JobStatus struct {
	ID      string `cbor:"ref"`
	State   string `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// ErrorResponse is the body of the response to a rejected request. Error is shown to the user.
type ErrorResponse struct {
	Error string `cbor:"error"`
}

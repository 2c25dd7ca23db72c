// Package wire holds the public wire formats of wheatspur: the CBOR bodies
// that users, workers, the cloud and the state service exchange with the
// controllers. Clients may import it; nothing in it depends on the rest of
// the program.
//
// The protocol's own vocabulary (shards, rigs, plots, batons, ...) stays in
// this package. The rest of the program uses the field's standard terms.
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

// MaxShards is the largest number of tasks of one job.
const MaxShards = 100_000

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

// Job shapes.
const (
	ShapeArray    = "array"
	ShapeStanding = "standing"
	// ShapeGang is an array whose tasks only run all at once. The protocol's
	// text does not describe it; see docs/questions.md.
	ShapeGang = "gang"
)

// Job ranks, highest first.
const (
	RankCritical = "critical"
	RankUrgent   = "urgent"
	RankNormal   = "normal"
	RankLow      = "low"
)

// Job phases.
const (
	PhaseQueued    = "queued"
	PhaseRunning   = "running"
	PhaseDone      = "done"
	PhaseCancelled = "cancelled"
)

// Shard phases in reports (PhaseRunning is shared with jobs).
const (
	ShardPulling  = "pulling"
	ShardRunning  = "running"
	ShardFlushing = "flushing"
	ShardExited   = "exited"
)

// Causes of an exited shard.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseInUse   = "in_use"
	CauseUnknown = "unknown"
)

// Order verbs.
const (
	VerbStart = "start"
	VerbKill  = "kill"
	VerbReap  = "reap"
)

// Machine phases in the cloud's list.
const (
	HostStarting = "starting"
	HostRunning  = "running"
	HostFailed   = "failed"
)

// Work is the body of POST /work.
type Work struct {
	Ref      string   `cbor:"ref"`
	Cohort   string   `cbor:"cohort"`
	Crew     string   `cbor:"crew"`
	Shape    string   `cbor:"shape"`
	Rank     string   `cbor:"rank"`
	Shards   int      `cbor:"shards"`
	CPUs     float64  `cbor:"cpus"`
	Cards    float64  `cbor:"cards"`
	RAMGB    float64  `cbor:"ram_gb"`
	Bundle   string   `cbor:"bundle"`
	ImageGB  float64  `cbor:"image_gb"`
	Rigs     []string `cbor:"rigs"`
	Plot     *string  `cbor:"plot"`
	Together bool     `cbor:"together"`
	Apart    bool     `cbor:"apart"`
	Windfall bool     `cbor:"windfall"`
	ReckonS  float64  `cbor:"reckon_s"`
	StakeS   float64  `cbor:"stake_s"`
	StashS   float64  `cbor:"stash_s"`
	DueS     *float64 `cbor:"due_s"`
	// Awaits names the jobs that have to be done before any task starts;
	// absent or null: none.
	Awaits []string `cbor:"awaits,omitempty"`
}

// requiredWork lists the fields that a submission must carry; rigs, plot, due_s
// and awaits may be null and so may be absent.
var requiredWork = []string{
	"ref", "cohort", "crew", "shape", "rank", "shards", "cpus", "cards", "ram_gb",
	"bundle", "image_gb", "together", "apart", "windfall", "reckon_s", "stake_s", "stash_s",
}

var refPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidRef reports whether s has the form of a job id.
func ValidRef(s string) bool { return refPattern.MatchString(s) }

// ErrMalformed is the kind of every error of DecodeWork.
var ErrMalformed = errors.New("malformed")

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
}

// DecodeWork decodes and checks the body of POST /work.
func DecodeWork(b []byte) (Work, error) {
	var w Work
	if len(b) > MaxBody {
		return w, malformed("body over %d bytes", MaxBody)
	}
	var fields map[string]Raw
	if err := Unmarshal(b, &fields); err != nil || fields == nil {
		return w, malformed("not a CBOR map")
	}
	for _, f := range requiredWork {
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

func (w *Work) check() error {
	switch {
	case !ValidRef(w.Ref):
		return malformed("ref %q is not a job id", w.Ref)
	case w.Cohort == "" || len(w.Cohort) > 200:
		return malformed("cohort is invalid")
	case w.Crew == "" || len(w.Crew) > 100:
		return malformed("crew is invalid")
	case w.Shape != ShapeArray && w.Shape != ShapeStanding && w.Shape != ShapeGang:
		return malformed("shape %q is unknown", w.Shape)
	case w.Rank != RankCritical && w.Rank != RankUrgent && w.Rank != RankNormal && w.Rank != RankLow:
		return malformed("rank %q is unknown", w.Rank)
	case w.Shards < 1 || w.Shards > MaxShards:
		return malformed("shards %d is out of range", w.Shards)
	case w.Bundle == "" || len(w.Bundle) > 200:
		return malformed("bundle is invalid")
	case len(w.Rigs) > 32:
		return malformed("rigs names too many types")
	}
	for _, r := range w.Rigs {
		if r == "" || len(r) > 100 {
			return malformed("rigs is invalid")
		}
	}
	if w.Plot != nil && (*w.Plot == "" || len(*w.Plot) > 100) {
		return malformed("plot is invalid")
	}
	for _, a := range []struct {
		name string
		v    float64
	}{{"cpus", w.CPUs}, {"cards", w.Cards}, {"ram_gb", w.RAMGB}, {"image_gb", w.ImageGB},
		{"reckon_s", w.ReckonS}, {"stake_s", w.StakeS}, {"stash_s", w.StashS}} {
		if !(a.v >= 0) || math.IsInf(a.v, 0) || a.v > 1e9 {
			return malformed("%s is out of range", a.name)
		}
	}
	if w.DueS != nil && (!(*w.DueS >= 0) || *w.DueS > 1e9) {
		return malformed("due_s is out of range")
	}
	return nil
}

// Status answers a submission, a poll or a cancellation.
type Status struct {
	Ref     string `cbor:"ref"`
	Phase   string `cbor:"phase"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Failure is the body of every refusal.
type Failure struct {
	Error string `cbor:"error"`
}

// Shard is one task in a worker's report.
type Shard struct {
	Shard string `cbor:"shard"`
	Try   uint64 `cbor:"try"`
	Phase string `cbor:"phase"`
	Cause string `cbor:"cause,omitempty"`
	Saved bool   `cbor:"saved,omitempty"`
}

// Checkin is a worker's report.
type Checkin struct {
	Host     string   `cbor:"host"`
	Address  string   `cbor:"address"`
	Rig      string   `cbor:"rig"`
	Plot     string   `cbor:"plot"`
	Windfall bool     `cbor:"windfall"`
	Stint    uint64   `cbor:"stint"`
	Tally    uint64   `cbor:"tally"`
	Baton    uint64   `cbor:"baton"`
	WarningS *float64 `cbor:"warning_s"`
	Shards   []Shard  `cbor:"shards"`
}

// Order is one command to a worker.
type Order struct {
	Verb    string   `cbor:"verb"`
	Shard   string   `cbor:"shard"`
	Try     uint64   `cbor:"try"`
	LeewayS *float64 `cbor:"leeway_s,omitempty"`
}

// Orders answers a report.
type Orders struct {
	Baton  uint64  `cbor:"baton"`
	Orders []Order `cbor:"orders"`
}

// Commands is the body of POST /commands at a worker.
type Commands struct {
	Baton  uint64  `cbor:"baton"`
	Stint  uint64  `cbor:"stint"`
	Orders []Order `cbor:"orders"`
}

// Redirect answers a report that another node should handle.
type Redirect struct {
	Foreman string `cbor:"foreman,omitempty"`
}

// Rig is a machine type.
type Rig struct {
	Label       string   `cbor:"label"`
	CPUs        float64  `cbor:"cpus"`
	Cards       float64  `cbor:"cards"`
	RAMGB       float64  `cbor:"ram_gb"`
	LocalGB     float64  `cbor:"local_gb"`
	FetchGBPerS float64  `cbor:"fetch_gb_per_s"`
	Price       float64  `cbor:"price"`
	SpotPrice   float64  `cbor:"spot_price"`
	StartupS    float64  `cbor:"startup_s"`
	Plots       []string `cbor:"plots"`
}

// Rigs answers GET /machine_types.
type Rigs struct {
	Rigs []Rig `cbor:"rigs"`
}

// Hire is the body of POST /hosts.
type Hire struct {
	Hire     string `cbor:"hire"`
	Rig      string `cbor:"rig"`
	Plot     string `cbor:"plot"`
	Windfall bool   `cbor:"windfall"`
	Number   int    `cbor:"number"`
}

// HostNames is a list of machines by name.
type HostNames struct {
	Hosts []string `cbor:"hosts"`
}

// Host is one machine in the cloud's list.
type Host struct {
	Ref      string  `cbor:"ref"`
	Address  string  `cbor:"address"`
	Rig      string  `cbor:"rig"`
	Plot     string  `cbor:"plot"`
	Windfall bool    `cbor:"windfall"`
	Phase    string  `cbor:"phase"`
	HeldS    float64 `cbor:"held_s"`
}

// HostPage answers GET /hosts.
type HostPage struct {
	Hosts     []Host `cbor:"hosts"`
	Truncated bool   `cbor:"truncated"`
}

// Pair is one key of the state service.
type Pair struct {
	Key   string `cbor:"key"`
	V     Raw    `cbor:"v"`
	Stamp uint64 `cbor:"stamp"`
}

// Pairs answers GET /keys.
type Pairs struct {
	Pairs     []Pair `cbor:"pairs"`
	Truncated bool   `cbor:"truncated"`
	Epoch     uint64 `cbor:"epoch"`
}

// Guard is one condition of a transaction.
type Guard struct {
	Key   string `cbor:"key"`
	Stamp uint64 `cbor:"stamp"`
}

// Change is one change of a transaction: a set or a drop.
type Change struct {
	Set    string `cbor:"set,omitempty"`
	V      Raw    `cbor:"v,omitempty"`
	Tenure uint64 `cbor:"tenure,omitempty"`
	Drop   string `cbor:"drop,omitempty"`
}

// Multi is a transaction.
type Multi struct {
	Guards []Guard  `cbor:"guards"`
	Then   []Change `cbor:"then"`
}

// MultiResult answers a transaction.
type MultiResult struct {
	Epoch  uint64   `cbor:"epoch"`
	Failed []string `cbor:"failed"`
	Error  string   `cbor:"error"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs uint64 `cbor:"ttl_ms"`
}

// Lease answers it.
type Lease struct {
	Tenure uint64 `cbor:"tenure"`
}

// Event is one change in a watch response.
type Event struct {
	Set   string `cbor:"set"`
	V     Raw    `cbor:"v"`
	Drop  string `cbor:"drop"`
	Stamp uint64 `cbor:"stamp"`
}

// Events answers GET /watch.
type Events struct {
	Epoch  uint64  `cbor:"epoch"`
	Events []Event `cbor:"events"`
}

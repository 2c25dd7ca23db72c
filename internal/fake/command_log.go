package fake

import (
	"fmt"
	"sync"
	"time"

	"wheatspur/wire"
)

// OrderLog is what workers were told, as they received it.
type OrderLog struct {
	mu     sync.Mutex
	starts map[string]int // by task and attempt
	at     []time.Time    // of each start, in order
	names  []string       // of each start
	kills  []string       // tasks that ran when they were told to end
}

// NewOrderLog returns an empty log.
func NewOrderLog() *OrderLog { return &OrderLog{starts: map[string]int{}} }

// Note takes commands that a worker is about to carry out.
func (o *OrderLog) Note(now time.Time, w *Worker, commands []wire.Command) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range commands {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		switch c.Verb {
		case wire.VerbStart:
			o.starts[key]++
			o.at = append(o.at, now)
			o.names = append(o.names, c.Task)
		case wire.VerbKill:
			if t := w.Tasks[key]; t != nil && t.State == wire.TaskRunning {
				o.kills = append(o.kills, key)
			}
		}
	}
}

// Orders is what an order log holds.
type Orders struct {
	Starts   int      // attempts that were started
	Repeated []string // attempts of which more than one start was received
	Kills    []string // tasks that ran when they were told to end
	Tasks    []string // of the starts, in their order
}

// Seen returns what the log holds.
func (o *OrderLog) Seen() Orders {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := Orders{Starts: len(o.starts), Kills: append([]string(nil), o.kills...), Tasks: append([]string(nil), o.names...)}
	for key, n := range o.starts {
		if n > 1 {
			out.Repeated = append(out.Repeated, key)
		}
	}
	return out
}

// Most is the most starts that were received in any time of a length.
func (o *OrderLog) Most(window time.Duration) (most int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := 0
	for last, at := range o.at {
		for at.Sub(o.at[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

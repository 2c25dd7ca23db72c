package fake

import (
	"slices"
	"sync"
	"time"

	"wheatspur/wire"
)

// OrderLog records the commands that workers receive.
type OrderLog struct {
	mu           sync.Mutex     // guards all below
	starts       map[string]int // start commands, by attempt (attemptKey)
	startTimes   []time.Time    // of each start command, in their order
	startedTasks []string       // of each start command, in their order
	kills        []string       // attempts that ran when they were told to stop
}

// NewOrderLog returns an empty log.
func NewOrderLog() *OrderLog { return &OrderLog{starts: map[string]int{}} }

// Note records commands that a worker is about to carry out.
func (l *OrderLog) Note(now time.Time, w *Worker, commands []wire.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, command := range commands {
		key := attemptKey(command)
		switch command.Verb {
		case wire.VerbStart:
			l.starts[key]++
			l.startTimes = append(l.startTimes, now)
			l.startedTasks = append(l.startedTasks, command.Task)
		case wire.VerbKill:
			if task := w.Tasks[key]; task != nil && task.State == wire.TaskRunning {
				l.kills = append(l.kills, key)
			}
		}
	}
}

// Orders is what a log of commands holds.
type Orders struct {
	Starts   int      // attempts that were started
	Repeated []string // attempts for which more than one start command was received
	Kills    []string // attempts that ran when they were told to stop
	Tasks    []string // of the start commands, in their order
}

// Seen returns what the log holds.
func (l *OrderLog) Seen() Orders {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Orders{Starts: len(l.starts), Kills: slices.Clone(l.kills), Tasks: slices.Clone(l.startedTasks)}
	for key, count := range l.starts {
		if count > 1 {
			out.Repeated = append(out.Repeated, key)
		}
	}
	return out
}

// Most is the most start commands that were received in any window of a length.
func (l *OrderLog) Most(window time.Duration) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := 0
	for last, at := range l.startTimes {
		for at.Sub(l.startTimes[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

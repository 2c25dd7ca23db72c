package testcluster

import (
	"io"
	"sync"
)

// logTailSize is how much of a controller's log is kept, in bytes.
const logTailSize = 4096

// logTail passes a controller's log on and keeps its end, which says why a process
// has ended that nobody stopped.
type logTail struct {
	next io.Writer // nil: nowhere

	mu   sync.Mutex // guards the one below
	tail []byte
}

// Write implements io.Writer.
func (l *logTail) Write(text []byte) (int, error) {
	l.keep(text)
	if l.next == nil {
		return len(text), nil
	}
	return l.next.Write(text)
}

func (l *logTail) keep(text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tail = append(l.tail, text...)
	l.tail = l.tail[max(0, len(l.tail)-logTailSize):]
}

// String returns the end of the log.
func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.tail)
}

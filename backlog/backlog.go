// Package backlog keeps the most recent entries of a sequence for readers that
// follow it at their own pace.
package backlog

// Cursor is a position in a sequence: the number of entries before it.
type Cursor uint64

// Log holds the most recent entries of a sequence. It is not safe for concurrent
// use.
type Log[T any] struct {
	limit int
	// entries holds up to 2*limit entries, so that an entry is moved once on average.
	// Readers get at most the last limit ones.
	entries []T
	// end is the cursor after the last entry.
	end Cursor
	// changed is closed and replaced when entries are appended.
	changed chan struct{}
}

// New returns an empty log that holds at most limit entries.
func New[T any](limit int) *Log[T] {
	return &Log[T]{limit: limit, changed: make(chan struct{})}
}

// Append adds entries to the end and wakes the readers. If the log then exceeds
// its limit, the oldest entries are dropped.
func (l *Log[T]) Append(list []T) {
	if len(list) == 0 {
		return
	}
	l.entries = append(l.entries, list...)
	l.end += Cursor(len(list))
	if len(l.entries) > 2*l.limit {
		kept := copy(l.entries, l.entries[len(l.entries)-l.limit:])
		clear(l.entries[kept:])
		l.entries = l.entries[:kept]
	}
	l.Wake()
}

// Reset drops all entries, so that every reader at an earlier cursor starts anew.
func (l *Log[T]) Reset() {
	l.entries = nil
	l.end++
	l.Wake()
}

// Wake wakes the readers, also if there are no new entries.
func (l *Log[T]) Wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns a copy of the entries after a cursor, or false if some of them
// have been dropped or the cursor is past the end.
func (l *Log[T]) Since(c Cursor) ([]T, bool) {
	if c > l.end || l.end-c > Cursor(min(l.limit, len(l.entries))) {
		return nil, false
	}
	return append([]T(nil), l.entries[len(l.entries)-int(l.end-c):]...), true
}

// End returns the cursor after the last entry.
func (l *Log[T]) End() Cursor { return l.end }

// Changed returns a channel that is closed when entries are appended.
func (l *Log[T]) Changed() <-chan struct{} { return l.changed }

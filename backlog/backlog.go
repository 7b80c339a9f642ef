// Package backlog keeps the last entries of a sequence for readers that follow
// it at their own pace.
package backlog

// Cursor is a place in a sequence. The zero Cursor stands before everything.
type Cursor uint64

// Log holds the last entries of a sequence. It is not safe for concurrent use.
type Log[T any] struct {
	limit   int
	entries []T
	// end is the cursor behind the last entry.
	end Cursor
	// changed is closed and made anew when the log grows.
	changed chan struct{}
}

// New returns an empty log that holds at most limit entries.
func New[T any](limit int) *Log[T] {
	return &Log[T]{limit: limit, changed: make(chan struct{})}
}

// Append adds entries to the end and wakes the readers.
func (l *Log[T]) Append(list []T) {
	if len(list) == 0 {
		return
	}
	l.entries = append(l.entries, list...)
	l.end += Cursor(len(list))
	if over := len(l.entries) - l.limit; over > 0 {
		l.entries = append([]T(nil), l.entries[over:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns a copy of the entries behind a cursor, or false where they are
// no longer all held.
func (l *Log[T]) Since(c Cursor) ([]T, bool) {
	if c > l.end || l.end-c > Cursor(len(l.entries)) {
		return nil, false
	}
	return append([]T(nil), l.entries[len(l.entries)-int(l.end-c):]...), true
}

// End returns the cursor behind the last entry.
func (l *Log[T]) End() Cursor { return l.end }

// Changed returns a channel that is closed when the log grows.
func (l *Log[T]) Changed() <-chan struct{} { return l.changed }

package registry

// Cursor is a place in a feed. The zero Cursor stands before everything.
type Cursor uint64

// maxFeed is how many updates a feed holds. A follower that is further behind
// gets everything instead.
const maxFeed = 1024

// feed holds the last updates that took effect at this daemon, in their order.
// Their revisions need not grow: a removal that was in doubt comes late.
type feed struct {
	updates []Update
	// end is the cursor behind the last update.
	end Cursor
}

// append adds updates to the end.
func (f *feed) append(list []Update) {
	f.updates = append(f.updates, list...)
	f.end += Cursor(len(list))
	if over := len(f.updates) - maxFeed; over > 0 {
		f.updates = append([]Update(nil), f.updates[over:]...)
	}
}

// since returns the updates behind a cursor, or false where they are no longer
// all held.
func (f *feed) since(c Cursor) ([]Update, bool) {
	if c > f.end || f.end-c > Cursor(len(f.updates)) {
		return nil, false
	}
	return f.updates[len(f.updates)-int(f.end-c):], true
}

package schedule

import (
	"math"
	"time"
)

const (
	// maxLevel is the last priority that is told apart; higher ones count as it.
	maxLevel = 7
	// risingShare is the granted share of a priority, relative to that of all jobs,
	// below which the priority is behind. It is more than the quarter that each account
	// is owed, since some granted requests fail, and well below one, so that a less
	// urgent priority is not granted more often than a more urgent one.
	risingShare = 1.0 / 3
	// levelHalfLife is the time in which the counts of jobs halve. It spans several
	// deadlines of usual requests.
	levelHalfLife = 5 * time.Second
	// minOwed is how many more grants a priority must be owed for all of its jobs to
	// rise. Of a priority that is owed less, those rise that have waited for half of
	// their time.
	minOwed = 0.5
)

// levels decides which priorities rise, so that the jobs of a less urgent one are not
// starved while more urgent ones use all slots.
type levels struct {
	counts [maxLevel + 1]levelCount
	// behind tells which priorities are granted too small a share, owed those of them
	// that are owed minOwed. top is the most urgent priority in use.
	behind, owed [maxLevel + 1]bool
	top          int
}

// levelCount counts the jobs of one priority, with an exponential decay.
type levelCount struct{ arrived, granted float64 }

func clampLevel(priority int) int { return max(0, min(priority, maxLevel)) }

// of returns the level by which a waiting job of a priority is ordered. It has waited
// long if it has waited for half of its time.
func (l *levels) of(priority int, waitedLong bool) int {
	if p := clampLevel(priority); !l.owed[p] && !(waitedLong && l.behind[p]) {
		return p
	}
	return l.top
}

func (l *levels) recordArrival(priority int) {
	l.counts[clampLevel(priority)].arrived++
	l.update()
}

func (l *levels) recordGrant(priority int) {
	l.counts[clampLevel(priority)].granted++
	l.update()
}

func (l *levels) decay(elapsed time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(levelHalfLife))
	for i := range l.counts {
		l.counts[i].arrived *= factor
		l.counts[i].granted *= factor
	}
}

func (l *levels) update() {
	var all levelCount
	l.top = maxLevel
	for p, c := range l.counts {
		all.arrived += c.arrived
		all.granted += c.granted
		if c.arrived >= minOwed {
			l.top = min(l.top, p)
		}
	}
	for p, c := range l.counts {
		owed := 0.0
		if p > l.top && all.arrived > 0 {
			owed = risingShare*all.granted/all.arrived*c.arrived - c.granted
		}
		l.behind[p], l.owed[p] = owed > 0, owed >= minOwed
	}
}

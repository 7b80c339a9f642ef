package caller

import (
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
)

// answer is a kind of response.
type answer struct {
	outcome outcome.Outcome
	reason  work.Reason
}

func (a answer) String() string {
	if a.reason == work.NoReason {
		return string(a.outcome)
	}
	return string(a.outcome) + "/" + string(a.reason)
}

// stopRecord counts what happens to requests and connections during a stop. It is safe
// for concurrent use.
type stopRecord struct {
	mu sync.Mutex
	// begun is when the stop began; zero until then, while nothing is counted.
	begun time.Time
	// answers counts the responses that were written whole.
	answers map[answer]int
	// unanswered counts the requests that ended without a complete answer, cutOff
	// those that were in progress when the requests were cancelled.
	unanswered, cutOff int
	endings            map[connectionEnding]int
	// unread is the sum of the unread bytes of the connections, and resets counts the
	// connections that had some left in the operating system.
	unread unread
	resets int
}

func (r *stopRecord) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun, r.answers, r.endings = time.Now(), make(map[answer]int), make(map[connectionEnding]int)
}

// took returns how long ago the stop began, and false if none has begun.
func (r *stopRecord) took() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.begun), !r.begun.IsZero()
}

func (r *stopRecord) addAnswer(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.begun.IsZero() {
		r.answers[a]++
	}
}

func (r *stopRecord) addUnanswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.begun.IsZero() {
		r.unanswered++
	}
}

func (r *stopRecord) addCutOff(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff += n
}

func (r *stopRecord) addEnd(e connectionEnding, u unread) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun.IsZero() {
		return
	}
	r.endings[e]++
	r.unread.dropped += u.dropped
	r.unread.notReceived += u.notReceived
	if u.notReceived > 0 {
		r.resets++
	}
}

func (r *stopRecord) MarshalZerologObject(e *zerolog.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered := 0
	for _, n := range r.answers {
		answered += n
	}
	e.Dur("Took", time.Since(r.begun)).
		Int("Answered", answered).Interface("Answers", byName(r.answers)).
		Int("Unanswered", r.unanswered).Int("CutOff", r.cutOff).
		Int("ClosedIdle", r.endings[closedIdle]).Int("ClosedByForce", r.endings[closedByForce]).Interface("Endings", r.endings).
		EmbedObject(r.unread).Int("Resets", r.resets)
}

// byName returns the counts by the names of the answers.
func byName(answers map[answer]int) map[string]int {
	names := make(map[string]int, len(answers))
	for a, n := range answers {
		names[a.String()] = n
	}
	return names
}

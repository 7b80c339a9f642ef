package peer

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/router"
	"github.com/stretchr/testify/require"
)

// TestRelayedLateInStop guards against requests that a peer relays to a daemon late in
// its planned stop, and that are still running at its cut.
func TestRelayedLateInStop(t *testing.T) {
	s := New(Config{Self: roster.Member{Host: "a", Incarnation: id.Incarnation(1)}})
	decode := func() *departure.Plan {
		r := httptest.NewRequest("POST", relayPath+"/pay", nil)
		r.Header.Set(message.RequestField, "1")
		r.Header.Set(deadlineField, "4000")
		r.Header.Set(hopsField, "1")
		r.Header.Set(purposeField, string(router.ToDispatcher))
		req, _, err := relayServer{s}.decode(r)
		require.NoError(t, err)
		return req.Departure
	}
	require.Nil(t, decode())
	plan := &departure.Plan{CutAt: time.Now()}
	s.Leave(plan)
	require.Same(t, plan, decode())
}

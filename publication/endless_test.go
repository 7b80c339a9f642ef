package publication

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
)

// TestEndlessValue has the platform answer with a head or a body without an end.
func TestEndlessValue(t *testing.T) {
	// Two calls, and the framing of chunks.
	maxSent := 2 * int64(maxHeader+MaxValueSize) * 11 / 10
	transcript := scripttest.EndlessTranscript(t, scripttest.EndlessResponses, maxSent, func(t *testing.T, server *scripttest.EndlessServer) string {
		transport := &http.Transport{DialContext: server.Dial}
		defer transport.CloseIdleConnections()
		client := newClient([]id.Address{"platform"}, zerolog.Nop(), transport)
		_, getErr := client.Get(t.Context(), IndexKey)
		_, awaitErr := client.Await(t.Context(), IndexKey, "1")
		return fmt.Sprintf("  get: %v\n  await: %v\n", getErr, awaitErr)
	})
	goldie.New(t).Assert(t, "endless", []byte(transcript))
}

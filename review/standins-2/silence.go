package main

import "time"

const (
	// settleWindow and minClients are the bounds of RECOVER: a machine that says it is ready
	// takes no new connection for so long, while so many clients or more try.
	settleWindow = 3 * time.Second
	minClients   = 7
)

// newConnection is a connection that a client made to ask a daemon something.
type newConnection struct {
	client int
	daemon *daemon
	at     time.Time
	// answered is set if the daemon answered within the time that the client allowed.
	answered bool
}

// silence is a span in which a daemon answered on no new connection.
type silence struct {
	begin time.Time
	span  time.Duration
	// clients is how many clients tried in the span.
	clients int
}

// breaksRule reports whether the silence breaks RECOVER, if the daemon was ready.
func (s silence) breaksRule() bool { return s.span > settleWindow && s.clients >= minClients }

// longestSilence returns the longest silence of a daemon, up to the end of the time that
// the client of its last connection allowed. The connections are in the order of time.
func longestSilence(connections []newConnection, d *daemon, allowed time.Duration) silence {
	var longest, present silence
	tried := make(map[int]bool)
	for _, n := range connections {
		switch {
		case n.daemon != d:
			continue
		case n.answered:
			clear(tried)
			continue
		case len(tried) == 0:
			present.begin = n.at
		}
		tried[n.client] = true
		present.span, present.clients = n.at.Add(allowed).Sub(present.begin), len(tried)
		if present.span > longest.span {
			longest = present
		}
	}
	return longest
}

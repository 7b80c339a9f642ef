package peer

import (
	"context"
	"net/http"
	"strings"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/twitchtv/twirp"
)

// maxRPCRequest limits the size of the body of an RPC request.
const maxRPCRequest = 64 << 10

func (s *Service) routes() http.Handler {
	calls := peerpb.NewPeerServer(server{s})
	relays := relayServer{s}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, calls.PathPrefix()):
			r.Body = http.MaxBytesReader(w, r.Body, maxRPCRequest)
			calls.ServeHTTP(w, r)
		case r.RequestURI == feedPath:
			feed, err := s.feedStream(r)
			if err != nil {
				http.Error(w, "this daemon has no feed", http.StatusNotFound)
				return
			}
			feed.ServeHTTP(w, r)
		case strings.HasPrefix(r.RequestURI, usagePath):
			usage, err := s.usageStream(r)
			if err != nil {
				http.Error(w, "this daemon has no usage for that follower", http.StatusNotFound)
				return
			}
			usage.ServeHTTP(w, r)
		case r.RequestURI == sightingPath:
			s.sightingStream().ServeHTTP(w, r)
		case strings.HasPrefix(r.RequestURI, relayPath+"/"):
			relays.ServeHTTP(w, r)
		default:
			s.cfg.Scope.Counter("refused_peer_messages").Inc(1)
			http.Error(w, "this address takes messages of peers only", http.StatusForbidden)
		}
	})
}

// server implements the RPCs of the peers.
type server struct{ *Service }

// Ping receives a peer's news and returns this daemon's. A peer whose
// incarnation was unknown or declared dead gets the result of knownMembers,
// since it may know no other daemon.
func (s server) Ping(_ context.Context, n *peerpb.News) (*peerpb.News, error) {
	if n.GetFrom().GetHost() == "" || n.GetFrom().GetIncarnation() == 0 {
		return nil, twirp.RequiredArgumentError("From")
	}
	newPeer := s.isNew(decodeMember(n.GetFrom()))
	s.receiveNews(n)
	response := s.newsFor(id.Host(n.GetFrom().GetHost()))
	if newPeer {
		response.Members = s.knownMembers()
	}
	return response, nil
}

// isNew reports whether the member's incarnation is unknown or declared dead.
func (s *Service) isNew(m roster.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.table.Find(m.Incarnation)
	return !known
}

// knownMembers returns the entries of all members that were heard from and are
// not dead.
func (s *Service) knownMembers() []*peerpb.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*peerpb.Member
	for _, m := range s.table.Members() {
		if m.Incarnation != 0 && m.State != roster.Dead {
			list = append(list, encodeMember(m))
		}
	}
	return list
}

// PingVia pings a peer on behalf of another one.
func (s server) PingVia(ctx context.Context, d *peerpb.Detour) (*peerpb.Reached, error) {
	l := s.link(id.Host(d.GetHost()))
	if l == nil || string(l.address) != d.GetPeers() {
		return &peerpb.Reached{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.Probe/probeTimeoutDivisor)
	defer cancel()
	news, err := l.client.Ping(ctx, s.newsFor(l.host))
	if err != nil || id.Host(news.GetFrom().GetHost()) != l.host {
		return &peerpb.Reached{}, nil
	}
	s.receiveNews(news)
	return &peerpb.Reached{Answered: true, Member: news.GetFrom()}, nil
}

// Index returns the index of the configuration in force.
func (s server) Index(context.Context, *peerpb.IndexRequest) (*peerpb.Document, error) {
	current := s.store.Current()
	if current == nil {
		return nil, twirp.NotFoundError("no configuration is in force")
	}
	return &peerpb.Document{Data: current.Documents.Index}, nil
}

// Value returns a service's value in the configuration in force.
func (s server) Value(_ context.Context, r *peerpb.ValueRequest) (*peerpb.Document, error) {
	current := s.store.Current()
	if current == nil {
		return nil, twirp.NotFoundError("no configuration is in force")
	}
	data, ok := current.Documents.Values[id.Service(r.GetService())]
	if !ok {
		return nil, twirp.NotFoundError("no such service")
	}
	return &peerpb.Document{Data: data}, nil
}

// targetLists holds lists of targets.
type targetLists interface {
	// Targets returns the last valid list of a service's targets, or nil.
	Targets(s id.Service) []byte
}

// Targets returns this daemon's last valid list of a service's targets.
func (s server) Targets(_ context.Context, r *peerpb.ValueRequest) (*peerpb.Document, error) {
	lists, err := kernel.Find[targetLists](s.kernel, "targets")
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	data := lists.Targets(id.Service(r.GetService()))
	if data == nil {
		return nil, twirp.NotFoundError("the platform gave no such list")
	}
	return &peerpb.Document{Data: data}, nil
}

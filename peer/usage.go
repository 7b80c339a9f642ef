package peer

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/quota"
	"google.golang.org/protobuf/proto"
)

// usagePath is where a daemon serves its usage: the requests of client accounts that it
// granted. The incarnation and the host of the follower come after it, so that the
// messages can acknowledge what that published.
const usagePath = "/usage/"

// usageLog provides the usage of this daemon.
type usageLog interface {
	// Messages returns the message for a follower that has received all before a cursor,
	// the cursor to continue from, and a channel that is closed when there is more. If first
	// is set, the message is full.
	Messages(to quota.Receiver, c backlog.Cursor, first bool) (quota.Message, backlog.Cursor, <-chan struct{})
}

// usageStream returns a stream of this daemon's usage for one follower; it starts with a
// full message. Without quotas there is none, which is an error.
func (s *Service) usageStream(r *http.Request) (stream, error) {
	incarnation, escaped, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, usagePath), "/")
	host, err := url.PathUnescape(escaped)
	if err != nil {
		return stream{}, err
	}
	follower := quota.Receiver{Host: id.Host(host)}
	if follower.Incarnation, err = id.ParseIncarnation(incarnation); err != nil {
		return stream{}, err
	}
	log, err := kernel.Find[usageLog](s.kernel, quota.ServiceName)
	if err != nil {
		return stream{}, err
	}
	var cursor backlog.Cursor
	first := true
	return stream{s, func() (proto.Message, <-chan struct{}) {
		m, next, more := log.Messages(follower, cursor, first)
		cursor, first = next, false
		return encodeUsage(m), more
	}}, nil
}

// FollowUsage calls handle for each message of a peer's usage until ctx ends or the peer
// stops responding, and returns the reason.
func (s *Service) FollowUsage(ctx context.Context, host id.Host, as quota.Receiver, handle func(quota.Message)) error {
	var m peerpb.UsageMessage
	return s.follow(ctx, host, streamKind{usageStreamPath(as), metric.UsageLink}, &m, func() error {
		handle(decodeUsage(&m))
		return nil
	})
}

// usageStreamPath returns the path of the stream for a follower.
func usageStreamPath(as quota.Receiver) string {
	return usagePath + as.Incarnation.String() + "/" + url.PathEscape(string(as.Host))
}

func encodeUsage(m quota.Message) *peerpb.UsageMessage {
	p := &peerpb.UsageMessage{
		Incarnation: uint64(m.Incarnation), Sequence: m.Sequence, Full: m.Full, Urgent: m.Urgent,
		Seasoned: m.Seasoned, Acknowledged: m.Acknowledged,
	}
	for _, u := range m.Usages {
		p.Usages = append(p.Usages, &peerpb.Usage{
			Account: uint64(u.Account), Epoch: u.Epoch, Granted: u.Granted, Offered: u.Offered, Recent: u.Recent, Credit: u.Credit, Former: u.Former,
		})
	}
	return p
}

func decodeUsage(p *peerpb.UsageMessage) quota.Message {
	m := quota.Message{
		Incarnation: id.Incarnation(p.GetIncarnation()), Sequence: p.GetSequence(), Full: p.GetFull(), Urgent: p.GetUrgent(),
		Seasoned: p.GetSeasoned(), Acknowledged: p.GetAcknowledged(),
	}
	for _, u := range p.GetUsages() {
		m.Usages = append(m.Usages, quota.Usage{
			Account: quota.Hash(u.GetAccount()), Epoch: u.GetEpoch(), Granted: u.GetGranted(), Offered: u.GetOffered(),
			Recent: u.GetRecent(), Credit: u.GetCredit(), Former: u.GetFormer(),
		})
	}
	return m
}

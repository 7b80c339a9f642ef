// Package settings reads the settings of a daemon.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Daemon is the settings of one daemon.
type Daemon struct {
	// Host is the name under which the platform lists this host.
	Host id.Host
	// FailureDomain is the failure domain that the host stands in.
	FailureDomain id.FailureDomain
	// Room is the processor time that the daemon has.
	Room unit.Millicores
	// Callers, Peers and Operator are the addresses to listen on. No two are
	// the same.
	Callers  id.Address
	Peers    id.Address
	Operator id.Address
	// Advertised is what others are told to use in place of Callers and Peers. The
	// two differ where a port is mapped on the way.
	Advertised Advertised
	// Platform has at least one address of the service that publishes in the
	// project's own format; empty where Store is set.
	Platform []id.Address
	// Store is the users' platform; its address is empty where Platform is set.
	Store Store
	// Directory is where callers and the platform of Store ask; its addresses
	// are set where Store is.
	Directory Directory
	// Seeds lists peers to ask first. They may be down, or be no daemons.
	Seeds  []id.Address
	Limits Limits
	Timing Timing
}

// Advertised is the addresses under which others reach a daemon.
type Advertised struct {
	Callers, Peers id.Address
}

// Store is the store of the users' platform.
type Store struct {
	Address id.Address
	// Terms is what the platform asks of its users, in its own notation; package
	// platform reads it.
	Terms string
}

// Directory is the addresses that answer questions before any request.
type Directory struct {
	// Resolve answers callers who ask where to connect.
	Resolve id.Address
	// Ready answers whether this daemon takes callers.
	Ready id.Address
}

// Limits bounds what callers, targets and peers can make a daemon hold.
type Limits struct {
	// Buffers bounds the sum of all bodies held in memory at one time.
	Buffers unit.Bytes
	// RequestHeader bounds the header of a caller's request.
	RequestHeader unit.Bytes
	// RequestBody bounds the body of a caller's request.
	RequestBody unit.Bytes
	// BodyBuffer is the largest request body that is held so that it can be
	// sent again. Larger ones are streamed. At most Buffers.
	BodyBuffer unit.Bytes
	// AnswerBuffer is the largest answer that is read whole before its first
	// byte goes to the caller. Larger ones are streamed. At most Buffers.
	AnswerBuffer unit.Bytes
	// CallerConnections bounds the connections of callers.
	CallerConnections int
	// Keys bounds the idempotency keys that are remembered.
	Keys int
}

// Timing is the time spans of a daemon.
type Timing struct {
	// Hold is how long a caller may keep an answer about addresses. A daemon
	// that stops serves for at least this long after it left the answers.
	Hold time.Duration
	// LeaveMargin is the time that the news of leaving may take to reach the
	// daemons that answer callers.
	LeaveMargin time.Duration
	// Stop bounds the time of a stop; zero waits for every request.
	Stop time.Duration
	// Epoch is how long one epoch of idempotency keys takes.
	Epoch time.Duration
	// Probe is the time between two probes of peers.
	Probe time.Duration
	// Suspect is how long a suspected peer may take to refute the suspicion.
	Suspect time.Duration
	// Join is how long a starting daemon waits for peers before it trusts the
	// platform's configuration alone.
	Join time.Duration
	// SlowCaller bounds a caller's pauses within a request or an answer.
	SlowCaller time.Duration
}

// Read reads the settings from a file.
func Read(path string) (Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads the settings from the text of a file. The error gathers every
// problem.
func Parse(name string, data []byte) (Daemon, error) {
	f := inifile.Parse(name, data)
	d := Daemon{}
	d.readHost(f)
	d.Limits = readLimits(f)
	d.Timing = readTiming(f)
	return d, f.Err()
}

func (d *Daemon) readHost(f *inifile.File) {
	host := f.Section("Host")
	d.Host = id.Host(host.Text("Name", "the name in the platform's host list"))
	d.FailureDomain = id.FailureDomain(host.Text("FailureDomain", "the name of a failure domain"))
	d.Room = unit.Millicores(thousandths * host.FloatOr("Cores", 0.001, maxCores, 1) * host.FloatOr("Speed", 0.001, maxCores, 1))
	listen := f.Section("Listen")
	d.Callers = listen.Address("Callers")
	d.Peers = listen.Address("Peers")
	d.Operator = listen.Address("Operator")
	refuseSame(listen, "Peers", d.Peers, "Callers", d.Callers)
	refuseSame(listen, "Operator", d.Operator, "Callers", d.Callers)
	refuseSame(listen, "Operator", d.Operator, "Peers", d.Peers)
	advertise := f.Optional("Advertise")
	d.Advertised = Advertised{Callers: addressOr(advertise, "Callers", d.Callers), Peers: addressOr(advertise, "Peers", d.Peers)}
	if peers := f.Optional("Peers"); peers.Has("Seeds") && peers.TextOr("Seeds", "") != "" {
		d.Seeds = peers.Addresses("Seeds")
	}
	if !f.Optional("Store").Has("Address") {
		d.Platform = f.Section("Platform").Addresses("Addresses")
		return
	}
	store := f.Section("Store")
	d.Store = Store{Address: store.Address("Address"), Terms: store.TextOr("Terms", "")}
	directory := f.Section("Directory")
	d.Directory = Directory{Resolve: directory.Address("Resolve"), Ready: directory.Address("Ready")}
}

func addressOr(s *inifile.Section, key string, fallback id.Address) id.Address {
	if !s.Has(key) {
		return fallback
	}
	return s.Address(key)
}

const (
	thousandths = 1000
	maxCores    = 1024
)

func refuseSame(s *inifile.Section, key string, address id.Address, other string, taken id.Address) {
	if address == taken && address != "" {
		s.Problem(key, fmt.Sprintf("address %s is also the one of %s", address, other), "an address of its own")
	}
}

func readLimits(f *inifile.File) Limits {
	s := f.Optional("Limits")
	l := Limits{
		Buffers:           s.BytesOr("Buffers", unit.MiB, 4*unit.GiB, 64*unit.MiB),
		RequestHeader:     s.BytesOr("RequestHeader", unit.KiB, unit.MiB, 16*unit.KiB),
		RequestBody:       s.BytesOr("RequestBody", unit.KiB, unit.GiB, 64*unit.MiB),
		BodyBuffer:        s.BytesOr("BodyBuffer", 0, 16*unit.MiB, 64*unit.KiB),
		AnswerBuffer:      s.BytesOr("AnswerBuffer", 0, 16*unit.MiB, 256*unit.KiB),
		CallerConnections: s.IntOr("CallerConnections", 16, 1_000_000, 4096),
		Keys:              s.IntOr("Keys", 100, 10_000_000, 100_000),
	}
	if l.BodyBuffer > l.Buffers {
		s.Problem("BodyBuffer", "larger than Buffers", "at most "+l.Buffers.String())
	}
	if l.AnswerBuffer > l.Buffers {
		s.Problem("AnswerBuffer", "larger than Buffers", "at most "+l.Buffers.String())
	}
	return l
}

func readTiming(f *inifile.File) Timing {
	s := f.Optional("Timing")
	t := Timing{
		Hold:        s.DurationOr("Hold", time.Second, 10*time.Minute, 5*time.Second),
		LeaveMargin: s.DurationOr("LeaveMargin", 0, time.Minute, 2*time.Second),
		Stop:        s.DurationOr("Stop", 0, time.Hour, 0),
		Epoch:       s.DurationOr("Epoch", 10*time.Second, 24*time.Hour, 10*time.Minute),
		Probe:       s.DurationOr("Probe", 100*time.Millisecond, 10*time.Second, time.Second),
		Suspect:     s.DurationOr("Suspect", 500*time.Millisecond, time.Minute, 2*time.Second),
		Join:        s.DurationOr("Join", 100*time.Millisecond, time.Minute, 2*time.Second),
		SlowCaller:  s.DurationOr("SlowCaller", time.Second, 10*time.Minute, 10*time.Second),
	}
	if t.Suspect < t.Probe {
		s.Problem("Suspect", "shorter than Probe", "at least "+t.Probe.String())
	}
	return t
}

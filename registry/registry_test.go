package registry

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/scripttest"
)

// TestViews takes listings and changes of the platform and of peers. A target is
// written name@address, with ! where it is leaving; -name is one that is gone,
// and = a configuration.
func TestViews(t *testing.T) {
	scripttest.Run(t, ".view", func(*testing.T) func([]string) string {
		s := &viewScript{clock: scripttest.NewClock(), view: NewView()}
		return s.execute
	})
}

type viewScript struct {
	clock *scripttest.Clock
	view  *View
}

func (s *viewScript) execute(w []string) string {
	now := s.clock.Now()
	switch w[0] {
	case "wait":
		s.clock.Wait(w[1])
		return s.show(s.view.Tick(s.clock.Now()))
	case "away":
		s.view.Away()
		return ""
	case "list":
		return s.show(s.view.FromPlatform(now, listing(w[1:], true)))
	case "change":
		return s.show(s.view.FromPlatform(now, listing(w[1:], false)))
	case "peerlist":
		return s.show(s.view.FromPeer(now, listing(w[1:], true)))
	case "peer":
		return s.show(s.view.FromPeer(now, listing(w[1:], false)))
	default:
		return "unknown command"
	}
}

// listing reads the revision that updates lead to, and updates that are written
// REVISION:WHAT.
func listing(words []string, whole bool) Listing {
	at, _ := strconv.Atoi(words[0])
	l := Listing{At: Revision(at), Whole: whole}
	for _, w := range words[1:] {
		number, what, _ := strings.Cut(w, ":")
		n, _ := strconv.Atoi(number)
		u := Update{Revision: Revision(n)}
		if name, gone := strings.CutPrefix(what, "-"); gone {
			u.Target = id.Target(name)
		} else if text, ok := strings.CutPrefix(what, "="); ok {
			u.Configuration = []byte(text)
		} else {
			name, address, _ := strings.Cut(what, "@")
			address, leaving := strings.CutSuffix(address, "!")
			u.Target = id.Target(name)
			u.Entry = &Entry{Service: "beds", Endpoint: schedule.Endpoint{ID: u.Target, Address: id.Address(address), Leaving: leaving}}
		}
		l.Updates = append(l.Updates, u)
	}
	return l
}

func (s *viewScript) show(effects []Update) string {
	var told []string
	for _, u := range effects {
		switch {
		case u.Target == "":
			told = append(told, "="+string(u.Configuration))
		case u.Entry == nil:
			told = append(told, "-"+string(u.Target))
		default:
			told = append(told, string(u.Target))
		}
	}
	var list []string
	for _, e := range s.view.Targets("beds") {
		name := string(e.ID) + "@" + string(e.Address)
		if e.Leaving {
			name += "!"
		}
		list = append(list, name)
	}
	_, missing := s.view.Counts()
	return fmt.Sprintf("at %d, told [%s], targets [%s], missing %d, configuration %q", s.view.At(), strings.Join(told, " "), strings.Join(list, " "), missing, s.view.Configuration())
}

// TestChoices lets a fleet of hosts a1, a2, b1 and so on, in the failure domains
// a, b and so on, choose where the first of them reads from.
func TestChoices(t *testing.T) {
	scripttest.Run(t, ".choice", func(*testing.T) func([]string) string {
		s := &choiceScript{clock: scripttest.NewClock()}
		return s.execute
	})
}

type choiceScript struct {
	clock        *scripttest.Clock
	chooser      *chooser
	fleet        []Reader
	age, peerAge time.Duration
}

func reader1(name string) Reader {
	return Reader{Host: id.Host(name), Domain: id.FailureDomain(name[:1])}
}

func (s *choiceScript) execute(w []string) string {
	now := s.clock.Now()
	switch w[0] {
	case "self":
		s.chooser = newChooser(reader1(w[1]), len(w) > 2, now)
		s.age, s.peerAge = -1, -1
		return ""
	case "fleet":
		s.fleet = nil
		for _, name := range w[1:] {
			s.fleet = append(s.fleet, reader1(name))
		}
	case "many":
		n, _ := strconv.Atoi(w[1])
		s.fleet = nil
		for i := range n {
			s.fleet = append(s.fleet, reader1(fmt.Sprintf("%c%d", 'a'+i%4, i/4)))
		}
	case "age":
		s.age, _ = time.ParseDuration(w[1])
		s.peerAge, _ = time.ParseDuration(w[2])
	case "failed":
		s.chooser.failed(now, id.Host(w[1]))
	case "wait":
		s.clock.Wait(w[1])
	case "delay":
		n, _ := strconv.Atoi(w[1])
		return s.chooser.longestDelay(n).String()
	}
	c := s.chooser.choose(s.clock.Now(), s.fleet, s.age, s.peerAge)
	return fmt.Sprintf("platform %t, peers %v", c.Platform, c.Peers)
}

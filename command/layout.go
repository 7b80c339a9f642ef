package command

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/publication"
)

// standinLayout is the command that lays out a trial: free ports, the daemons'
// settings, and the values that the platform publishes.
type standinLayout struct {
	streams   streams
	Answers   string `long:"answers" value-name:"FILE" required:"yes" description:"the questionnaire's answers (INI)"`
	Daemons   int    `long:"daemons" value-name:"N" default:"8" description:"how many daemons"`
	Directory string `long:"directory" value-name:"DIR" required:"yes" description:"where to write"`
}

// Execute writes the layout.
func (s *standinLayout) Execute([]string) error {
	data, err := os.ReadFile(s.Answers)
	if err != nil {
		return err
	}
	q, err := answers.Parse(s.Answers, data)
	if err != nil {
		return invalid(err)
	}
	l := &layout{directory: s.Directory, files: make(map[string]*strings.Builder)}
	if err := l.findPorts(s.ports(q)); err != nil {
		return err
	}
	l.platform = l.address()
	fmt.Fprintf(l.file("platform.txt"), "%s %s\n", l.platform, l.address())
	for i := range s.Daemons {
		l.daemon(i, q.FailureDomains[i%len(q.FailureDomains)])
	}
	for _, v := range q.Services {
		for i := range int(v.Targets) {
			l.target(v, i, q.FailureDomains[i%len(q.FailureDomains)])
		}
	}
	return l.write()
}

// Ports of a daemon, of a target and of the platform.
const (
	daemonPorts   = 3
	targetPorts   = 2
	platformPorts = 2
)

func (s *standinLayout) ports(q answers.Questionnaire) int {
	n := platformPorts + daemonPorts*s.Daemons
	for _, v := range q.Services {
		n += targetPorts * int(v.Targets)
	}
	return n
}

// layout is a trial that is being laid out.
type layout struct {
	directory string
	platform  string
	ports     []int
	// files holds the text of each file by its path in the directory.
	files map[string]*strings.Builder
}

// findPorts finds free ports. All are held until the last one is found, so
// that none comes twice.
func (l *layout) findPorts(n int) error {
	for range n {
		bound, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("layout: %w", err)
		}
		defer bound.Close()
		l.ports = append(l.ports, bound.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

func (l *layout) address() string {
	port := l.ports[0]
	l.ports = l.ports[1:]
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (l *layout) file(name string) *strings.Builder {
	if l.files[name] == nil {
		l.files[name] = &strings.Builder{}
	}
	return l.files[name]
}

func (l *layout) value(key publication.Key) *strings.Builder {
	return l.file(filepath.Join("values", filepath.FromSlash(string(key))))
}

func (l *layout) daemon(i int, domain id.FailureDomain) {
	name := fmt.Sprintf("host-%02d", i+1)
	callers, peers, operator := l.address(), l.address(), l.address()
	settings := filepath.Join("settings", name+iniExtension)
	fmt.Fprintf(l.file(settings), `[Host]
Name = %s
FailureDomain = %s

[Listen]
Callers = %s
Peers = %s
Operator = %s

[Platform]
Addresses = %s

[Timing]
Hold = 2s
`, name, domain, callers, peers, operator, l.platform)
	fmt.Fprintf(l.file("daemons.txt"), "%s %s %s %s\n", name, filepath.Join(l.directory, settings), callers, operator)
	fmt.Fprintf(l.value(publication.DaemonsKey), "[Daemon %s]\nCallers = %s\nPeers = %s\nFailureDomain = %s\nState = live\n\n", name, callers, peers, domain)
}

func (l *layout) target(v answers.Service, i int, domain id.FailureDomain) {
	name := fmt.Sprintf("%s-%02d", v.Name, i+1)
	listen, control := l.address(), l.address()
	fmt.Fprintf(l.file("targets.txt"), "%s %s %s %d\n", name, listen, control, v.RequestsAtOnce)
	fmt.Fprintf(l.value(publication.TargetsKey(v.Name)), "[Target %s]\nAddress = %s\nFailureDomain = %s\nState = live\n\n", name, listen, domain)
}

func (l *layout) write() error {
	for name, text := range l.files {
		path := filepath.Join(l.directory, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

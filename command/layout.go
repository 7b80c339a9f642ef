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

// standinLayoutCommand implements the subcommand that prepares the files of
// a test fleet: free ports, the daemons' settings, and the values that the
// platform publishes.
type standinLayoutCommand struct {
	streams   streams
	Answers   string `long:"answers" value-name:"FILE" required:"yes" description:"questionnaire answers (INI)"`
	Daemons   int    `long:"daemons" value-name:"N" default:"8" description:"number of daemons"`
	Directory string `long:"directory" value-name:"DIR" required:"yes" description:"directory to write to"`
}

// Execute writes the files to the directory.
func (s *standinLayoutCommand) Execute([]string) error {
	data, err := os.ReadFile(s.Answers)
	if err != nil {
		return err
	}
	q, err := answers.Parse(s.Answers, data)
	if err != nil {
		return invalid(err)
	}
	l := &layout{directory: s.Directory, files: make(map[string]*strings.Builder)}
	if err := l.reservePorts(s.portCount(q)); err != nil {
		return err
	}
	l.platform = l.nextAddress()
	fmt.Fprintf(l.file("platform.txt"), "%s %s\n", l.platform, l.nextAddress())
	for i := range s.Daemons {
		l.addDaemon(i, q.FailureDomains[i%len(q.FailureDomains)])
	}
	for _, v := range q.Services {
		for i := range int(v.Targets) {
			l.addTarget(v, i, q.FailureDomains[i%len(q.FailureDomains)])
		}
	}
	return l.write()
}

// Numbers of ports that a daemon, a target and the platform take.
const (
	daemonPorts   = 3
	targetPorts   = 2
	platformPorts = 2
)

func (s *standinLayoutCommand) portCount(q answers.Questionnaire) int {
	n := platformPorts + daemonPorts*s.Daemons
	for _, v := range q.Services {
		n += targetPorts * int(v.Targets)
	}
	return n
}

// layout collects the files of a test fleet until they are written.
type layout struct {
	directory string
	platform  string
	ports     []int
	// files holds the text of each file by its path relative to directory.
	files map[string]*strings.Builder
}

// reservePorts finds free ports. It keeps all of them open until the last one
// is found, so that no port is found twice.
func (l *layout) reservePorts(n int) error {
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

// nextAddress takes the next of the free ports.
func (l *layout) nextAddress() string {
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

// value returns the file of a value that the platform publishes.
func (l *layout) value(key publication.Key) *strings.Builder {
	return l.file(filepath.Join("values", filepath.FromSlash(string(key))))
}

func (l *layout) addDaemon(i int, domain id.FailureDomain) {
	name := fmt.Sprintf("host-%02d", i+1)
	callers, peers, operator := l.nextAddress(), l.nextAddress(), l.nextAddress()
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

func (l *layout) addTarget(v answers.Service, i int, domain id.FailureDomain) {
	name := fmt.Sprintf("%s-%02d", v.Name, i+1)
	listen, control := l.nextAddress(), l.nextAddress()
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

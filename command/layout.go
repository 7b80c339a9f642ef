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

// standinLayoutCommand implements the subcommand that prepares the files of a
// test fleet:
//
//	settings/  the settings of each daemon
//	values/    the values that the platform publishes, named by their keys
//
// and three lists, whose lines have these fields:
//
//	platform.txt  address, control address
//	daemons.txt   host, settings file, callers' address, operators' address
//	targets.txt   target, address, control address, slots
type standinLayoutCommand struct {
	streams   streams
	Answers   string `long:"answers" value-name:"FILE" required:"yes" description:"questionnaire answers (INI)"`
	Daemons   int    `long:"daemons" value-name:"N" default:"8" description:"number of daemons"`
	Directory string `long:"directory" value-name:"DIR" required:"yes" description:"directory to write to"`
}

func (s *standinLayoutCommand) Execute([]string) error {
	data, err := os.ReadFile(s.Answers)
	if err != nil {
		return err
	}
	q, err := answers.Parse(s.Answers, data)
	if err != nil {
		return invalidInputError(err)
	}
	l := &layout{directory: s.Directory, files: make(map[string]*strings.Builder)}
	if err := l.findFreePorts(s.portCount(q)); err != nil {
		return err
	}
	l.platform = l.nextAddress()
	fmt.Fprintf(l.file("platform.txt"), "%s %s\n", l.platform, l.nextAddress())
	for i := range s.Daemons {
		l.addDaemon(i, q.FailureDomains[i%len(q.FailureDomains)])
	}
	for _, service := range q.Services {
		for i := range int(service.Targets) {
			l.addTarget(service, i, q.FailureDomains[i%len(q.FailureDomains)])
		}
	}
	return l.write()
}

// The number of ports that each daemon, each target and the platform listen on.
const (
	daemonPorts   = 3
	targetPorts   = 2
	platformPorts = 2
)

func (s *standinLayoutCommand) portCount(q answers.Questionnaire) int {
	n := platformPorts + daemonPorts*s.Daemons
	for _, service := range q.Services {
		n += targetPorts * int(service.Targets)
	}
	return n
}

// layout collects the files of a test fleet until they are written.
type layout struct {
	directory string
	// platform is the address at which daemons read from the platform.
	platform string
	// ports holds the free ports that nextAddress has not returned yet.
	ports []int
	// files holds the text of each file by its path relative to directory.
	files map[string]*strings.Builder
}

// findFreePorts finds n free ports. It listens on each of them until the last one
// is found, so that no port is found twice. It does not reserve them afterwards.
func (l *layout) findFreePorts(n int) error {
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

// nextAddress returns a loopback address with the next free port.
func (l *layout) nextAddress() string {
	port := l.ports[0]
	l.ports = l.ports[1:]
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// file returns the builder of a file's text, which the first call for the name
// creates.
func (l *layout) file(name string) *strings.Builder {
	if l.files[name] == nil {
		l.files[name] = &strings.Builder{}
	}
	return l.files[name]
}

// valueFile returns the builder of the file for a value that the platform publishes.
func (l *layout) valueFile(key publication.Key) *strings.Builder {
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
	fmt.Fprintf(l.valueFile(publication.DaemonsKey), "[Daemon %s]\nCallers = %s\nPeers = %s\nFailureDomain = %s\nState = live\n\n", name, callers, peers, domain)
}

func (l *layout) addTarget(service answers.Service, i int, domain id.FailureDomain) {
	name := fmt.Sprintf("%s-%02d", service.Name, i+1)
	listen, control := l.nextAddress(), l.nextAddress()
	fmt.Fprintf(l.file("targets.txt"), "%s %s %s %d\n", name, listen, control, service.RequestsAtOnce)
	fmt.Fprintf(l.valueFile(publication.TargetsKey(service.Name)), "[Target %s]\nAddress = %s\nFailureDomain = %s\nState = live\n\n", name, listen, domain)
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

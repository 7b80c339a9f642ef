package command

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
)

// generateCommand implements the subcommand that derives a configuration from the
// answers to the questionnaire.
type generateCommand struct {
	streams  streams
	Answers  string `long:"answers" value-name:"FILE" required:"yes" description:"questionnaire answers (INI)"`
	Previous string `long:"previous" value-name:"DIR" description:"directory of the configuration in force; the difference from it is printed"`
	Out      string `long:"out" value-name:"DIR" description:"directory to write the configuration to (default: standard output)"`
}

// Execute derives the configuration, prints how it differs from the previous
// one, and writes it.
func (g *generateCommand) Execute([]string) error {
	data, err := os.ReadFile(g.Answers)
	if err != nil {
		return err
	}
	q, err := answers.Parse(g.Answers, data)
	if err != nil {
		return invalidInputError(err)
	}
	previous, err := readDocuments(g.Previous)
	if err != nil {
		return err
	}
	number, err := nextVersionNumber(previous)
	if err != nil {
		return invalidInputError(err)
	}
	docs := q.Derive(number)
	if _, err := (configuration.INI{}).Compose(docs); err != nil {
		return invalidInputError(err)
	}
	if g.Previous != "" {
		fmt.Fprint(g.streams.out, configuration.Difference(previous, docs))
	}
	if g.Out == "" {
		printDocuments(g.streams, docs)
		return nil
	}
	return writeDocuments(g.Out, docs)
}

func nextVersionNumber(previous configuration.Documents) (uint64, error) {
	if previous.Index == nil {
		return 1, nil
	}
	index, err := configuration.ParseIndex(previous.Index)
	return index.Version.Number + 1, err
}

const (
	indexFile         = "index.ini"
	serviceFilePrefix = "service-"
	iniExtension      = ".ini"
)

// readDocuments reads a configuration from the files that writeDocuments wrote
// to dir. It returns empty documents if dir is "".
func readDocuments(dir string) (configuration.Documents, error) {
	docs := configuration.Documents{Values: make(map[id.Service][]byte)}
	if dir == "" {
		return docs, nil
	}
	var err error
	if docs.Index, err = os.ReadFile(filepath.Join(dir, indexFile)); err != nil {
		return docs, err
	}
	files, err := filepath.Glob(filepath.Join(dir, serviceFilePrefix+"*"+iniExtension))
	if err != nil {
		return docs, err
	}
	for _, file := range files {
		name := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(file), serviceFilePrefix), iniExtension)
		if docs.Values[id.Service(name)], err = os.ReadFile(file); err != nil {
			return docs, err
		}
	}
	return docs, nil
}

func writeDocuments(dir string, docs configuration.Documents) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for name, data := range docs.Values {
		if err := os.WriteFile(filepath.Join(dir, serviceFilePrefix+string(name)+iniExtension), data, 0o644); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, indexFile), docs.Index, 0o644)
}

func printDocuments(std streams, docs configuration.Documents) {
	fmt.Fprintf(std.out, "; %s\n%s", indexFile, docs.Index)
	for _, name := range slices.Sorted(maps.Keys(docs.Values)) {
		fmt.Fprintf(std.out, "\n; %s%s%s\n%s", serviceFilePrefix, name, iniExtension, docs.Values[name])
	}
}

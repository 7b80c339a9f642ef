package command

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/settings"
)

// checkCommand implements the subcommand that validates settings, questionnaire
// answers and generated configurations.
type checkCommand struct {
	streams streams
	// reported is set once a report has been written.
	reported      bool
	Settings      []string `long:"settings" value-name:"FILE" description:"settings file of a daemon; may be repeated"`
	Answers       []string `long:"answers" value-name:"FILE" description:"file with questionnaire answers; may be repeated"`
	Configuration []string `long:"configuration" value-name:"DIR|FILE" description:"directory of a generated configuration, or a configuration in the format of the platform's store; may be repeated"`
	InForce       string   `long:"in-force" value-name:"FILE" description:"configuration in force, in the format of the platform's store, to compare each such configuration with"`
	JSON          bool     `long:"json" description:"report on configuration files in JSON"`
}

// Execute checks every file and reports the problems of all of them.
func (c *checkCommand) Execute([]string) error {
	var errs []error
	for _, file := range c.Settings {
		_, err := settings.Read(file)
		errs = append(errs, err)
	}
	for _, file := range c.Answers {
		errs = append(errs, checkAnswers(file))
	}
	for _, path := range c.Configuration {
		errs = append(errs, c.checkConfiguration(path))
	}
	if len(errs) == 0 {
		return errors.New("check: no files given; use --settings, --answers or --configuration")
	}
	var withCode exitError
	err := errors.Join(errs...)
	switch invalid := slices.DeleteFunc(slices.Clone(errs), func(err error) bool { return err == nil || errors.Is(err, errFindings) }); {
	case err == nil:
	case len(invalid) == 0, errors.As(err, &withCode):
		return err
	default:
		return invalidInputError(err)
	}
	if !c.reported {
		fmt.Fprintln(c.streams.out, "no problems found")
	}
	return nil
}

func checkAnswers(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	q, err := answers.Parse(file, data)
	if err != nil {
		return err
	}
	_, err = configuration.INI{}.Compose(q.Derive(1))
	return err
}

// checkConfiguration checks a generated configuration, which is a directory, or a file in
// the format of the platform's store.
func (c *checkCommand) checkConfiguration(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return c.inspect(path)
	}
	docs, err := readDocuments(path)
	if err != nil {
		return err
	}
	_, err = configuration.INI{}.Compose(docs)
	return err
}

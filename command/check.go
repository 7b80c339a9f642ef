package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/briarrouter/briarrouter/answers"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/settings"
)

// checkCommand implements the subcommand that validates settings, questionnaire
// answers and generated configurations.
type checkCommand struct {
	streams       streams
	Settings      []string `long:"settings" value-name:"FILE" description:"settings file of a daemon; may be repeated"`
	Answers       []string `long:"answers" value-name:"FILE" description:"file with questionnaire answers; may be repeated"`
	Configuration []string `long:"configuration" value-name:"DIR" description:"directory of a generated configuration; may be repeated"`
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
	for _, dir := range c.Configuration {
		errs = append(errs, checkConfiguration(dir))
	}
	if len(errs) == 0 {
		return errors.New("check: no files given; use --settings, --answers or --configuration")
	}
	if err := errors.Join(errs...); err != nil {
		return invalidInputError(err)
	}
	fmt.Fprintln(c.streams.out, "no problems found")
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

func checkConfiguration(dir string) error {
	docs, err := readDocuments(dir)
	if err != nil {
		return err
	}
	_, err = configuration.INI{}.Compose(docs)
	return err
}

package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/inspection"
	"github.com/briarrouter/briarrouter/platform"
)

// errFindings is the error of a check that found errors or warnings. It is not an invalid
// input, which has an exit code of its own.
var errFindings = errors.New("check: the configuration has problems")

// inspect reports on a configuration in the format of the platform's store. It is an
// error if the file cannot be read, and errFindings if it can and has problems.
func (c *checkCommand) inspect(path string) error {
	next, err := readDraft(path)
	if err != nil {
		return err
	}
	var inForce *configuration.Draft
	if c.InForce != "" {
		draft, err := readDraft(c.InForce)
		if err != nil {
			return err
		}
		inForce = &draft
	}
	report := inspection.Inspect(path, next, inForce)
	c.reported = true
	if err := c.writeReport(report); err != nil {
		return exitError{err, exitFailed}
	}
	if !report.Clean() {
		return errFindings
	}
	return nil
}

func (c *checkCommand) writeReport(report inspection.Report) error {
	if !c.JSON {
		_, err := report.WriteTo(c.streams.out)
		return err
	}
	encoder := json.NewEncoder(c.streams.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(report)
}

// readDraft reads a configuration. The fields that daemons do not know are among what the
// draft says is ignored.
func readDraft(path string) (configuration.Draft, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configuration.Draft{}, err
	}
	draft, err := platform.Format{}.Decode(configuration.Documents{Index: data})
	if err != nil {
		return configuration.Draft{}, fmt.Errorf("%s: %w", path, err)
	}
	for _, field := range platform.UnknownFields(data) {
		draft.Ignored = append(draft.Ignored, "unknown field "+field)
	}
	return draft, nil
}

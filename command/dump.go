package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/operator"
)

// dumpCommand implements the subcommand that shows the state of a daemon.
type dumpCommand struct {
	streams streams
	Address string `long:"address" value-name:"ADDRESS" required:"yes" description:"operators' address of the daemon"`
	JSON    bool   `long:"json" description:"write JSON instead of text"`
}

const (
	dumpTimeout = 10 * time.Second
	// maxDumpBytes bounds the memory for a dump. A longer dump is truncated.
	maxDumpBytes = 64 << 20
)

// Execute fetches the dump and writes it as text or JSON.
func (d *dumpCommand) Execute([]string) error {
	client := &http.Client{Timeout: dumpTimeout}
	resp, err := client.Get("http://" + d.Address + operator.DumpPath)
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDumpBytes))
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	if d.JSON {
		_, err = d.streams.out.Write(data)
		return err
	}
	return writeText(d.streams.out, data)
}

// writeText writes JSON as indented lines without quotes and brackets.
func writeText(out io.Writer, data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	t := &textWriter{out: out, decoder: decoder}
	return t.writeValue(0)
}

// textWriter converts a stream of JSON tokens into indented lines.
type textWriter struct {
	out     io.Writer
	decoder *json.Decoder
}

func (t *textWriter) writeValue(depth int) error {
	token, err := t.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		fmt.Fprintln(t.out)
		return t.writeObject(depth)
	case json.Delim('['):
		fmt.Fprintln(t.out)
		return t.writeArray(depth)
	default:
		_, err = fmt.Fprintf(t.out, " %v\n", token)
		return err
	}
}

const indent = "  "

func (t *textWriter) writeObject(depth int) error {
	for t.decoder.More() {
		key, err := t.decoder.Token()
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%s%v:", strings.Repeat(indent, depth), key)
		if err := t.writeValue(depth + 1); err != nil {
			return err
		}
	}
	_, err := t.decoder.Token()
	return err
}

func (t *textWriter) writeArray(depth int) error {
	for t.decoder.More() {
		fmt.Fprintf(t.out, "%s-", strings.Repeat(indent, depth))
		if err := t.writeValue(depth + 1); err != nil {
			return err
		}
	}
	_, err := t.decoder.Token()
	return err
}

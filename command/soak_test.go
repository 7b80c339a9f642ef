package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestSoakCases parses valid and invalid lines of a file of cases, and the files
// of the project.
func TestSoakCases(t *testing.T) {
	var b strings.Builder
	path := filepath.Join(t.TempDir(), "cases")
	for _, line := range []string{"7 10s why", "# 7 10s why", "", "7 10s", "x 10s why", "7 ten why", "7 -1s why", "-7 10s why"} {
		require.NoError(t, os.WriteFile(path, []byte(line), 0o600))
		list, err := (&soakCommand{Cases: path}).cases()
		text := fmt.Sprint(list)
		if err != nil {
			text = strings.ReplaceAll(err.Error(), path, "FILE")
		}
		fmt.Fprintf(&b, "%q\n  -> %s\n", line, text)
	}
	for _, name := range []string{"cases.txt", "stopcases.txt"} {
		list, err := (&soakCommand{Cases: filepath.Join("../soak/testdata", name)}).cases()
		require.NoError(t, err)
		require.NotEmpty(t, list)
	}
	goldie.New(t).Assert(t, "soakcases", []byte(b.String()))
}

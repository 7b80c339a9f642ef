package answers

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestDerive derives a configuration from each file of questionnaire answers in
// testdata and examples. For a file that Parse rejects, the golden file holds the
// errors.
func TestDerive(t *testing.T) {
	for _, pattern := range []string{"testdata/*.ini", "../examples/*.ini"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			name := strings.TrimSuffix(filepath.Base(file), ".ini")
			t.Run(name, func(t *testing.T) { goldie.New(t).Assert(t, name, []byte(derive(t, file))) })
		}
	}
}

func derive(t *testing.T, file string) string {
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	q, err := Parse(filepath.Base(file), data)
	if err != nil {
		return err.Error() + "\n"
	}
	docs := q.Derive(1)
	_, err = configuration.INI{}.Compose(docs)
	require.NoError(t, err)
	text := string(docs.Index)
	for _, name := range slices.Sorted(maps.Keys(docs.Values)) {
		text += fmt.Sprintf("\n--- %s\n%s", name, docs.Values[name])
	}
	return text
}

// FuzzParse looks for inputs that make the parser panic.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../examples/agency.ini")
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { Parse("fuzz", data) })
}

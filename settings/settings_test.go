package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestParse parses each settings file of testdata and compares the result or the
// error with its golden file.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	require.NoError(t, err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".ini")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			d, err := Parse(filepath.Base(file), data)
			if err != nil {
				goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
				return
			}
			goldie.New(t).Assert(t, name, []byte(fmt.Sprintf("%+v\n", d)))
		})
	}
}

// FuzzParse searches for settings that make the parser panic.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.ini")
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) { Parse("fuzz", data) })
}

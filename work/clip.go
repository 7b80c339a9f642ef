package work

import "strings"

// maxLoggedText is the length up to which texts that callers choose are logged. Up to some
// thousand log lines wait for a slow reader, and a text may be as long as a header section.
const maxLoggedText = 128

// Clip returns a text that a caller chose as it is logged: its start, if it is long. The
// result does not keep the rest of the text in memory.
func Clip(s string) string {
	if len(s) <= maxLoggedText {
		return s
	}
	return strings.ToValidUTF8(s[:maxLoggedText], "") + "..."
}

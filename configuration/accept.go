package configuration

import "github.com/briarrouter/briarrouter/id"

// Verdict says what becomes of an offered configuration.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "Accepted"
	Same     Verdict = "Same"
	Older    Verdict = "Older"
	// Invalid documents are refused whole, whatever their version.
	Invalid Verdict = "Invalid"
)

// Accept decides whether an offered version replaces the one in force. The
// order of versions is total, so that all daemons end with the same one even
// when two contents were published under one number.
func Accept(inForce, offered id.ConfigVersion) Verdict {
	c := offered.Compare(inForce)
	if c > 0 {
		return Accepted
	}
	if c == 0 {
		return Same
	}
	return Older
}

// Conflict tells whether two contents claim the same number.
func Conflict(a, b id.ConfigVersion) bool {
	return a.Number == b.Number && a.Digest != b.Digest && a.Number != 0
}

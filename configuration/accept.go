package configuration

import "github.com/briarrouter/briarrouter/id"

// Verdict is the result of offering a configuration to a Store.
type Verdict string

const (
	Accepted Verdict = "Accepted"
	Same     Verdict = "Same"
	Older    Verdict = "Older"
	// Invalid configurations are rejected as a whole, whatever their version.
	Invalid Verdict = "Invalid"
)

// Accept decides whether an offered version replaces the one in force. The
// order of versions is total, so that all daemons converge on the same one even
// if two different configurations were published under one number.
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

// Conflict reports whether two different configurations have the same number. The
// number zero stands for no configuration.
func Conflict(a, b id.ConfigVersion) bool {
	return a.Number == b.Number && a.Digest != b.Digest && a.Number != 0
}

package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

const (
	// KeysKept: unless a fault may have delayed the withdrawal, a request runs only if its
	// key belongs to a client account in a configuration that may still be in force.
	// Targets get the name of that account and never a key, no line of a daemon's log
	// holds a key, and no request whose key every such configuration holds gets status 401.
	KeysKept Promise = "KeysKept"

	accountCount = 3
	// keyLife is the number of configurations that hold a key.
	keyLife = 2
	// The shares of the requests that are sent without a key and with a withdrawn one.
	withoutKeyShare, withdrawnKeyShare = 0.02, 0.03
)

// accountKey identifies a key: that of an account which a configuration was the first to
// hold.
type accountKey struct {
	// account is empty if the configurations name no accounts.
	account id.Caller
	// configuration counts the published configurations from 1; zero stands for a request
	// without a key.
	configuration int
}

// text returns the key as callers send it; empty if there is none.
func (k accountKey) text() string {
	if k.configuration == 0 {
		return ""
	}
	return fmt.Sprintf("%s%s-%d", platformtest.KeyPrefix, k.account, k.configuration)
}

// usesAccounts reports whether the configurations name client accounts. One seed in four
// is played without them.
func (s *Soak) usesAccounts() bool { return !s.cfg.PlannedWork && s.cfg.Seed%4 != 0 }

// accountName returns the account of the n-th caller.
func accountName(n int) id.Caller { return id.Caller(fmt.Sprintf("account-%d", n%accountCount)) }

// accounts returns the client accounts of the configuration that is published now.
func (s *Soak) accounts() []platformtest.Account {
	var list []platformtest.Account
	for n := range accountCount {
		a := platformtest.Account{Name: accountName(n)}
		for c := int(s.published); c > max(0, int(s.published)-keyLife); c-- {
			a.Keys = append(a.Keys, accountKey{a.Name, c}.text())
		}
		list = append(list, a)
	}
	return list
}

// drawKey draws the key of a request: nearly always one that every daemon must know.
func (c *checker) drawKey(random *rand.Rand, account id.Caller) accountKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := len(c.assignments)
	if account == "" {
		return accountKey{}
	}
	key := accountKey{account, newest}
	if time.Since(c.assignments[newest-1].at) < propagationBound && newest > 1 {
		key.configuration--
	}
	switch draw := random.Float64(); {
	case draw < withoutKeyShare:
		key.configuration = 0
	case draw < withoutKeyShare+withdrawnKeyShare:
		key.configuration = max(0, newest-keyLife-random.IntN(3))
	}
	return key
}

// withdrawnAt returns when a key was withdrawn; false if it has not been. The caller must
// hold c.mu.
func (c *checker) withdrawnAt(k accountKey) (time.Time, bool) {
	n := k.configuration + keyLife
	if n > len(c.assignments) {
		return time.Time{}, false
	}
	return c.assignments[n-1].at, true
}

// isKeyOwed reports whether a request with a key must not be refused for it: the
// configurations that may be in force between propagationBound before it was sent and now
// all hold the key. The caller must hold c.mu.
func (c *checker) isKeyOwed(k accountKey, sent time.Time) bool {
	if k.configuration == 0 || c.assignments[k.configuration-1].at.After(sent.Add(-propagationBound)) {
		return false
	}
	_, withdrawn := c.withdrawnAt(k)
	return !withdrawn
}

// checkRunKey checks KeysKept for a request that begins to run. The caller must hold c.mu.
func (c *checker) checkRunKey(request *requestRecord, r platformtest.Run) {
	if r.KeySeen {
		c.recordViolationLocked(KeysKept, "target %s got the key of request %s", r.Target, r.Request)
	}
	if request.key.configuration == 0 {
		c.recordViolationLocked(KeysKept, "request %s ran without a key", r.Request)
		return
	}
	if r.Account != request.key.account {
		c.recordViolationLocked(KeysKept, "target %s got account %q for request %s of account %s", r.Target, r.Account, r.Request, request.key.account)
	}
	if at, withdrawn := c.withdrawnAt(request.key); withdrawn && request.sent.After(at.Add(propagationBound)) && c.faults.noneSince(at) {
		c.recordViolationLocked(KeysKept, "request %s ran with a key that was withdrawn %.1f s before it was sent", r.Request, request.sent.Sub(at).Seconds())
	}
}

// checkRefusedKey checks KeysKept for a response to a request. Faults are no excuse: a
// daemon knows how old its copy of the configuration may be. The caller must hold c.mu.
func (c *checker) checkRefusedKey(request *requestRecord, call platformtest.Call, status int) {
	if status == http.StatusUnauthorized && c.isKeyOwed(request.key, request.sent) {
		c.recordViolationLocked(KeysKept, "request %s got status 401 for a key that has been valid since configuration %d of %d", call.Request, request.key.configuration, len(c.assignments))
	}
}

// checkLog checks KeysKept for the log of a daemon.
func (d *daemon) checkLog() {
	data, err := os.ReadFile(d.log.Name())
	if err != nil {
		d.soak.logf("reading the log of %s: %v", d.name, err)
	}
	if line, _, found := bytes.Cut(data, []byte(platformtest.KeyPrefix)); found {
		d.soak.checker.recordViolation(KeysKept, "the log of daemon %s holds a key at byte %d", d.name, len(line))
	}
}

package registry

import (
	"errors"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
)

// withoutConfigurations returns the updates without the documents of configurations.
// The feed would otherwise hold as many large documents as it has room for updates.
func withoutConfigurations(updates []Update) []Update {
	list := slices.Clone(updates)
	for i := range list {
		list[i].Configuration = nil
	}
	return list
}

// withNewestConfiguration replaces the updates of the configuration in a list by the
// newest one.
func (v *View) withNewestConfiguration(list []Update) []Update {
	targets := slices.DeleteFunc(slices.Clone(list), func(u Update) bool { return u.Target == "" })
	if len(targets) == len(list) {
		return list
	}
	return append(targets, v.configuration)
}

// sameDocument reports whether two documents are the same one. Each document that is
// received has its own memory, so a different address means a new document; one without
// content has no address.
func sameDocument(a, b []byte) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (r *Registry) collect(document []byte) (configuration.Documents, error) {
	return r.store.Collect(document, func(id.Service) ([]byte, error) {
		return nil, errors.New("the index names services whose values are separate documents, which the platform does not publish")
	})
}

// assess compares a document with the configuration in force.
func (r *Registry) assess(document []byte) configuration.Verdict {
	docs, err := r.collect(document)
	if err != nil {
		return configuration.Invalid
	}
	return r.store.Assess(docs)
}

func (r *Registry) offer(document []byte) {
	docs, err := r.collect(document)
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("configuration cannot be read")
		return
	}
	r.store.Offer(docs, "platform")
}

// IsCurrent reports whether the copy was confirmed so lately that it has every change that
// must be in force by now, and its configuration has been put in force.
func (r *Registry) IsCurrent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.age(now, true)
	return age >= 0 && age <= r.cfg.InForce && sameDocument(r.offered, r.view.Configuration())
}

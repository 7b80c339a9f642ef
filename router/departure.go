package router

import (
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/work"
)

// takes reports whether a stop that is in progress leaves enough time for a request.
func (r *Router) takes(req *work.Request, m configuration.Match) bool {
	if req.Departure == nil {
		return true
	}
	usual := r.dispatcher.MeanServiceTime(m.Service.Name, m.Route.Name)
	return req.Departure.Takes(time.Now(), departure.Request{Deadline: req.Deadline, Usual: usual})
}

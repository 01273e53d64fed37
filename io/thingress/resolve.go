package thingress

import (
	"strings"
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"

	"github.com/valyala/fasthttp"
)

// resolve sets the route and the customer of a request of which the method, host and URI are known,
// or returns the refusal of a request that has none. It calls authenticate, which returns the
// customer whose key the request carries, if the route needs a key.
func resolve(table thtable.Table, request *thmessage.Request, authenticate func() (thtable.Customer, error)) *Refusal {
	if table.Version() == 0 {
		return &Refusal{Err: therror.New(therror.NotReady, "the VM has no configuration yet"), RetryAfter: retryAfterStart}
	}
	if request.Method == fasthttp.MethodConnect {
		return &Refusal{Err: therror.New(therror.RequestMalformed, "method CONNECT")}
	}
	route, ok := routeFor(table, request.Host, request.URI)
	if !ok {
		return &Refusal{Err: therror.New(therror.RouteUnknown, "no route for this host and path")}
	}
	request.Route = route
	if !table.RequiresKey() || route.Open {
		return nil
	}
	customer, err := authenticate()
	if err != nil {
		return &Refusal{Err: err}
	}
	request.Customer = customer
	if !customer.MayUse(route) {
		return &Refusal{Err: therror.New(therror.RouteForbidden, "route %s is not open to customer %s", route.Name, customer.Name)}
	}
	return nil
}

// setTimes sets the objective and the deadline of a request whose route is set. They count from its
// arrival. The request may take the given time, or the route's timeout if that is shorter.
func setTimes(request *thmessage.Request, timeout time.Duration) {
	request.Objective = request.Arrived.Add(time.Duration(request.Route.LatencyObjectiveMillis) * time.Millisecond)
	request.Deadline = request.Arrived.Add(boundTimeout(timeout, request.Route))
}

// boundTimeout returns the timeout, or the route's if that is shorter.
func boundTimeout(timeout time.Duration, route thtable.Route) time.Duration {
	if limit := time.Duration(route.TimeoutMillis) * time.Millisecond; limit > 0 {
		return min(timeout, limit)
	}
	return timeout
}

// authenticate returns the customer whose key the request carries.
func authenticate(table thtable.Table, q *fasthttp.Request) (thtable.Customer, error) {
	values := q.Header.PeekAll(fasthttp.HeaderAuthorization)
	switch len(values) {
	case 0:
		return thtable.Customer{}, errKeyMissing()
	case 1:
	default:
		return thtable.Customer{}, therror.New(therror.RequestMalformed, "the request carries %d keys", len(values))
	}
	text := string(values[0])
	if len(text) < len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return thtable.Customer{}, therror.New(therror.KeyMissing, "the key must come as Authorization: Bearer <key>")
	}
	return holderOf(table, strings.TrimSpace(text[len(bearerPrefix):]))
}

// errKeyMissing returns the error for a request without a key on a route that needs one.
func errKeyMissing() error { return therror.New(therror.KeyMissing, "the request carries no key") }

// holderOf returns the customer that holds the key, or a therror.KeyUnknown.
func holderOf(table thtable.Table, key string) (thtable.Customer, error) {
	customer, ok := table.Authenticate(key)
	if !ok {
		return thtable.Customer{}, therror.New(therror.KeyUnknown, "the key is not in force")
	}
	return customer, nil
}

package work

import (
	"strings"
	"time"
)

// Kind says how often a call of a route may run.
type Kind string

// The kinds of routes.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = "repeatable"
	// Once calls run at most once for each attempt of the caller.
	Once Kind = "once"
	// Stream calls are Once calls whose answer is a series of events.
	Stream Kind = "stream"
)

// Split is a share of a route's calls that goes to a service.
type Split struct {
	Service string
	// Weight is relative to the other splits of the route; never negative.
	Weight int
}

// Route tells where calls of a host and path prefix go.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the time to the first byte within which an answer has its full worth.
	Objective time.Duration
	// Priority is 0 for the most urgent calls.
	Priority int
	// Splits holds at least one service.
	Splits []Split
	// Public says that it takes calls without a key.
	Public bool
	// Regions are those in which calls may be served and kept; none bind nothing.
	Regions []string
	// Attempts is the largest number of replicas that one call may be sent to; at least 1.
	Attempts int
	// Stateful says that the system keeps the turns of programs on this route.
	Stateful bool
	// Resumable says that a replica can go on with an answer that another has begun, behind the
	// event whose id it is given.
	Resumable bool
	// Retention is how long an answered turn is kept after its end, and what a program has spent
	// after its last turn.
	Retention time.Duration
	// Stride is the tokens in one event of an answer, the most of the route's services; zero
	// for plain services. It travels with the route, since the box that owns a program may
	// know no configuration yet.
	Stride int
}

// Service is a group of replicas that run the same calls.
type Service struct {
	Name string
	// Connections bounds the connections that one replica takes from all callers together.
	Connections int
	// ColdFor is how long a replica is cold after a start, and ColdRate the calls a second that all boxes together
	// may send it then; 0 if it bears as many as ever.
	ColdFor  time.Duration
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine tells what a model replica can do.
type Engine struct {
	// Slots is the largest batch.
	Slots int
	// Stride is the number of tokens in one event of an answer.
	Stride int
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is never changed once made.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Callers is nil where anyone may call.
	Callers *Callers

	byHost map[string][]*Route
}

// NewConfig makes a configuration and its index of routes.
func NewConfig(version int64, routes []Route, services []Service, limits Limits) *Config {
	conf := &Config{
		Version: version, Routes: routes, Limits: limits,
		Services: map[string]Service{}, byHost: map[string][]*Route{},
	}
	for _, svc := range services {
		conf.Services[svc.Name] = svc
	}
	for i := range conf.Routes {
		route := &conf.Routes[i]
		route.Stride = conf.stride(route)
		conf.byHost[route.Host] = append(conf.byHost[route.Host], route)
	}
	return conf
}

// stride is the most tokens in one event of the route's services.
func (c *Config) stride(route *Route) int {
	most := 0
	for _, split := range route.Splits {
		if engine := c.Services[split.Service].Engine; engine != nil {
			most = max(most, engine.Stride)
		}
	}
	return most
}

// Find returns the host's route with the longest prefix of the path, or nil.
func (c *Config) Find(host, path string) *Route {
	var best *Route
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// hostName is the host in lower case without its port.
func hostName(host string) string {
	if cut := strings.LastIndexByte(host, ':'); cut >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:cut]
	}
	return strings.ToLower(host)
}

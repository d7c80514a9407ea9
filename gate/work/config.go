package work

import (
	"strings"
	"time"
)

// Kind specifies how often a route's calls may run and how they are answered.
type Kind string

// The kinds of routes.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = "repeatable"
	// AtMostOnce calls run at most once for each attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream calls are AtMostOnce calls whose answer is a series of events.
	Stream Kind = "stream"
)

// Split is the share of a route's calls that goes to a service.
type Split struct {
	Service string
	// Weight is relative to the other splits of the route; never negative.
	Weight int
}

// Route maps calls for a host and path prefix to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds a call from its arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the target time to the first byte of an answer.
	Objective time.Duration
	// Priority ranks the calls of the route; 0 is the most urgent.
	Priority int
	// Splits holds at least one service.
	Splits []Split
	// Public reports whether the route accepts calls without a key.
	Public bool
	// Regions lists the regions in which calls may be served and stored; an empty list allows all.
	Regions []string
	// Attempts is the maximum number of replicas that may run one call; at least 1.
	Attempts int
	// Stateful reports whether the system stores the turns of programs on this route.
	Stateful bool
	// Resumable reports whether another replica can continue a partial answer after the event with a
	// given id.
	Resumable bool
	// Retention is how long an answered turn is stored after its end, and a program's token count after
	// its last turn.
	Retention time.Duration
	// Stride is the number of tokens in one event of an answer, the maximum over the route's services;
	// zero for plain services. It is sent along with the route, since the box that owns the program may
	// not have loaded a configuration yet.
	Stride int
}

// Service is a group of replicas that serve the same calls.
type Service struct {
	Name string
	// Connections bounds the connections to one replica from all boxes together.
	Connections int
	// WarmupTime is the warm-up time of a replica after its start, and WarmupRate the number of calls per
	// second that all boxes together may send to it during that time; 0 means no limit.
	WarmupTime time.Duration
	WarmupRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the capacity of a model replica.
type Engine struct {
	// Slots is the maximum batch size.
	Slots int
	// Stride is the number of tokens in one event of an answer.
	Stride int
	// CacheTokens is the size of the replica's memory for prompts, in tokens; 0 if it is not known.
	CacheTokens int
}

// Limits bounds the size of requests and how long clients may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It must not be modified once it is in use.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Callers is nil if calls need no key.
	Callers *WorkspaceIndex

	byHost map[string][]*Route
}

// NewConfig returns a configuration with an index of its routes by host.
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

// stride returns the maximum number of tokens in one event over the route's services.
func (c *Config) stride(route *Route) int {
	maxStride := 0
	for _, split := range route.Splits {
		if engine := c.Services[split.Service].Engine; engine != nil {
			maxStride = max(maxStride, engine.Stride)
		}
	}
	return maxStride
}

// FindRoute returns the host's route with the longest prefix of the path, or nil.
func (c *Config) FindRoute(host, path string) *Route {
	var best *Route
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

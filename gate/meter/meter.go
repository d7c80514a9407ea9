package meter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"mulleingate.dev/base/types"
)

const (
	sampleSize = 1028
	// maxNames bounds the figures, whatever workspaces and classes callers name.
	maxNames = 4096
)

// Meter is the service.
type Meter struct {
	reg   metrics.Registry
	names atomic.Int64
}

// New makes a meter without figures.
func New() *Meter {
	return &Meter{reg: metrics.NewRegistry()}
}

// Start implements a service.
func (m *Meter) Start(context.Context) error {
	return nil
}

// Stop implements a service.
func (m *Meter) Stop(context.Context) error {
	return nil
}

// Count adds n to a counter.
func (m *Meter) Count(name string, n int64) {
	if c, ok := m.get(name, func() any { return metrics.NewCounter() }).(metrics.Counter); ok {
		c.Inc(n)
	}
}

// Gauge sets a value.
func (m *Meter) Gauge(name string, v int64) {
	if g, ok := m.get(name, func() any { return metrics.NewGauge() }).(metrics.Gauge); ok {
		g.Update(v)
	}
}

// Time adds a duration to a histogram, in microseconds.
func (m *Meter) Time(name string, d time.Duration) {
	made := func() any { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	if h, ok := m.get(name, made).(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Latency adds a duration to the histogram of a workspace and class.
func (m *Meter) Latency(name, workspace, class string, d time.Duration) {
	m.Time(name+"{workspace="+workspace+",class="+class+"}", d)
}

func (m *Meter) get(name string, make func() any) any {
	if have := m.reg.Get(name); have != nil {
		return have
	}
	if m.names.Add(1) > maxNames {
		return nil
	}
	return m.reg.GetOrRegister(name, make())
}

// Report reads all figures.
func (m *Meter) Report() types.Metrics {
	out := types.Metrics{Counters: map[string]int64{}, Gauges: map[string]int64{}, Histograms: map[string]types.Histogram{}}
	m.reg.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			out.Counters[name] = v.Count()
		case metrics.Gauge:
			out.Gauges[name] = v.Value()
		case metrics.Histogram:
			s := v.Snapshot()
			ps := s.Percentiles([]float64{0.5, 0.95, 0.99})
			out.Histograms[name] = types.Histogram{Count: s.Count(), Mean: s.Mean(), P50: ps[0], P95: ps[1], P99: ps[2], Max: s.Max()}
		}
	})
	return out
}

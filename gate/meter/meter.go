package meter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"mulleingate.dev/base/types"
)

const (
	// sampleSize is the number of values that a histogram samples for its percentiles.
	sampleSize = 1028
	// maxMetrics bounds the number of metrics, since workspaces and classes are part of their names. Further
	// metrics are not recorded.
	maxMetrics = 4096
)

// Meter is the service that holds the metrics of a box.
type Meter struct {
	registry    metrics.Registry
	metricCount atomic.Int64
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Start implements kernel.Service.
func (m *Meter) Start(context.Context) error {
	return nil
}

// Stop implements kernel.Service.
func (m *Meter) Stop(context.Context) error {
	return nil
}

// Count adds n to a counter.
func (m *Meter) Count(name string, n int64) {
	if c, ok := m.getOrCreate(name, func() any { return metrics.NewCounter() }).(metrics.Counter); ok {
		c.Inc(n)
	}
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, v int64) {
	if g, ok := m.getOrCreate(name, func() any { return metrics.NewGauge() }).(metrics.Gauge); ok {
		g.Update(v)
	}
}

// Time adds a duration to a histogram, in microseconds.
func (m *Meter) Time(name string, d time.Duration) {
	newHistogram := func() any { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	if h, ok := m.getOrCreate(name, newHistogram).(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Latency adds a duration to the histogram of a workspace and class.
func (m *Meter) Latency(name, workspace, class string, d time.Duration) {
	m.Time(name+"{workspace="+workspace+",class="+class+"}", d)
}

// getOrCreate returns the metric with the name, creating it if needed, or nil if there are too many metrics.
func (m *Meter) getOrCreate(name string, create func() any) any {
	if existing := m.registry.Get(name); existing != nil {
		return existing
	}
	if m.metricCount.Add(1) > maxMetrics {
		return nil
	}
	return m.registry.GetOrRegister(name, create())
}

// Report returns the current values of all metrics.
func (m *Meter) Report() types.Metrics {
	out := types.Metrics{Counters: map[string]int64{}, Gauges: map[string]int64{}, Histograms: map[string]types.Histogram{}}
	m.registry.Each(func(name string, v any) {
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

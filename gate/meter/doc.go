// Package meter collects the metrics of a box: counters, gauges, and histograms of durations, which may be
// divided by workspace and class.
package meter

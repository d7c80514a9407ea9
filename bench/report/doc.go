// Package report writes figures as tables, CSV and plots.
package report

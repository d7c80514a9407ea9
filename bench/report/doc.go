// Package report writes measurements as Markdown tables, CSV files and plots.
package report

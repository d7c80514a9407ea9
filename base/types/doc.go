// Package types defines the data that callers, boxes, targets and the platform exchange:
// requests and answers, log records, configuration, platform lists and status reports.
package types

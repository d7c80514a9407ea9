// Package admin serves operators on a separate address: health checks, metrics, the box's
// status and the recorded reasons for scheduling decisions. It returns no content of calls and
// has no influence on scheduling.
package admin

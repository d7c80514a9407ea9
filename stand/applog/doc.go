// Package applog is a stand-in of the platform's append-only log service: streams with
// offsets from 1, an append limit, retention, outages, slowness and lost answers.
package applog

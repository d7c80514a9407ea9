// Package applog simulates the platform's append-only log service: streams with offsets from 1,
// a limit on appends, retention, and injected outages, delays, lost responses and late appends.
package applog

// Package slots owns slots: it claims them in the log, writes their records in groups,
// and steps down as soon as the log shows another claim. The order of entries in the log
// is the only thing that decides who owns a slot; heartbeats only decide who tries.
package slots

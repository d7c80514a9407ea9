// Package view knows which boxes live. Each box appends heartbeats to one topic of the log
// and reads those of the others. The view steers; it never decides who may write.
package view

// Package slots manages this box's ownership of slots. It claims slots in the log, appends
// their records in batches, and gives a slot up as soon as the log shows a newer claim. Only
// the order of entries in the log decides which box owns a slot; heartbeats only decide
// which box tries to claim it.
package slots

package mirror

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

// hosts are the sources that the log names, so that a box which starts finds them without the list of all members. Each
// availability zone has a shard of its own, with a record for each of its sources.
type hosts struct {
	self   work.Box
	shard  work.Shard
	log    work.Log
	logger *slog.Logger

	mu sync.Mutex
	// known are those that the log named last.
	known []work.Box
	// announced says that the log names this box; until is until when it serves however it ranks.
	announced bool
	until     time.Time
}

func newHosts(self work.Box, zones []string, log work.Log, logger *slog.Logger) *hosts {
	number := max(slices.Index(zones, self.Zone), 0)
	return &hosts{self: self, shard: work.Shard{Topic: work.Sources, Number: number}, log: log, logger: logger}
}

// Known are the sources that were found at the last look.
func (h *hosts) Known() []work.Box {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// Serving reports whether this box serves however it ranks.
func (h *hosts) Serving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.until)
}

// Look reads the sources. A log that can't be read names none.
func (h *hosts) Look(ctx context.Context) []work.Box {
	var known []work.Box
	_, err := work.AllNewest(ctx, h.log, h.shard, callWait, func(rec work.Record) {
		if box, err := work.ParseMember(string(rec.Value)); err == nil && box.Zone == h.self.Zone {
			known = append(known, box)
		}
	})
	if err != nil {
		h.logger.Debug("mirror: sources not read", "cause", err)
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = known
	return known
}

// Announce has the log name this box, which serves for a time however it ranks.
func (h *hosts) Announce(ctx context.Context, serves time.Duration) {
	if err := h.append(ctx, []work.Record{{Key: h.self.Name, Value: []byte(h.self.Member())}}); err != nil {
		h.logger.Info("mirror: source not announced", "cause", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = true
	h.until = time.Now().Add(serves)
	h.logger.Info("mirror: source announced", "serves", serves)
}

func (h *hosts) append(ctx context.Context, recs []work.Record) error {
	return h.log.Append(ctx, h.shard, work.Writer{}, recs)
}

// Tend announces this box if it ranks as a source and takes it back if it does no longer. A box that comes to be a source
// also takes those back that are dead.
func (h *hosts) Tend(ctx context.Context, ranks bool, live []work.Box) {
	h.mu.Lock()
	announced, serves := h.announced, time.Now().Before(h.until)
	h.mu.Unlock()
	switch {
	case ranks && !announced:
		h.Announce(ctx, 0)
		h.drop(ctx, h.dead(ctx, live))
	case announced && !ranks && !serves:
		h.drop(ctx, []string{h.self.Name})
	}
}

// dead are the sources that the log names and that live no longer.
func (h *hosts) dead(ctx context.Context, live []work.Box) []string {
	var dead []string
	for _, box := range h.Look(ctx) {
		if !contains(live, box.Name) {
			dead = append(dead, box.Name)
		}
	}
	return dead
}

// drop has the log name the boxes no longer.
func (h *hosts) drop(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	recs := make([]work.Record, 0, len(names))
	for _, name := range names {
		recs = append(recs, work.Record{Key: name})
	}
	if err := h.append(ctx, recs); err != nil {
		h.logger.Info("mirror: sources not taken back", "cause", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = h.announced && !slices.Contains(names, h.self.Name)
}

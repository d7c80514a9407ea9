package mirror

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

// sourceDirectory keeps the sources of this box's zone that are announced in the log, so that a starting box finds
// them without the list of members. Each availability zone has its own shard, with a record per source.
type sourceDirectory struct {
	self   work.Box
	shard  work.Shard
	log    work.Log
	logger *slog.Logger

	mu sync.Mutex
	// known are the sources that the last ReadAnnounced found.
	known []work.Box
	// announced reports whether this box is announced in the log. It stays a source until servesUntil, whatever
	// its rank.
	announced   bool
	servesUntil time.Time
}

func newSourceDirectory(self work.Box, zones []string, log work.Log, logger *slog.Logger) *sourceDirectory {
	zoneIndex := max(slices.Index(zones, self.Zone), 0)
	return &sourceDirectory{self: self, shard: work.Shard{Topic: work.Sources, Number: zoneIndex}, log: log, logger: logger}
}

// Known returns the sources that the last ReadAnnounced found.
func (h *sourceDirectory) Known() []work.Box {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// Serving reports whether this box is a source whatever its rank.
func (h *sourceDirectory) Serving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.servesUntil)
}

// ReadAnnounced reads the announced sources from the log; none if the log can't be read.
func (h *sourceDirectory) ReadAnnounced(ctx context.Context) []work.Box {
	var known []work.Box
	_, err := work.AllNewest(ctx, h.log, h.shard, logCallTimeout, func(rec work.Record) {
		if box, err := work.ParseMember(string(rec.Value)); err == nil && box.Zone == h.self.Zone {
			known = append(known, box)
		}
	})
	if err != nil {
		h.logger.Debug("mirror: announced sources not read", "cause", err)
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = known
	return known
}

// Announce adds this box to the announced sources. It is a source for the time serves, whatever its rank.
func (h *sourceDirectory) Announce(ctx context.Context, serves time.Duration) {
	if err := h.append(ctx, []work.Record{{Key: h.self.Name, Value: []byte(h.self.Member())}}); err != nil {
		h.logger.Info("mirror: could not announce this box as a source", "cause", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = true
	h.servesUntil = time.Now().Add(serves)
	h.logger.Info("mirror: announced this box as a source", "serves", serves)
}

func (h *sourceDirectory) append(ctx context.Context, recs []work.Record) error {
	return h.log.Append(ctx, h.shard, work.Writer{}, recs)
}

// UpdateAnnouncement announces this box if it ranks as a source and withdraws it if it no longer does. A box that becomes a
// source also withdraws the sources that are dead.
func (h *sourceDirectory) UpdateAnnouncement(ctx context.Context, isRanked bool, live []work.Box) {
	h.mu.Lock()
	wasAnnounced, serves := h.announced, time.Now().Before(h.servesUntil)
	h.mu.Unlock()
	switch {
	case isRanked && !wasAnnounced:
		h.Announce(ctx, 0)
		h.withdraw(ctx, h.deadSources(ctx, live))
	case wasAnnounced && !isRanked && !serves:
		h.withdraw(ctx, []string{h.self.Name})
	}
}

// deadSources returns the names of the announced sources that are not live.
func (h *sourceDirectory) deadSources(ctx context.Context, live []work.Box) []string {
	var dead []string
	for _, box := range h.ReadAnnounced(ctx) {
		if !contains(live, box.Name) {
			dead = append(dead, box.Name)
		}
	}
	return dead
}

// withdraw removes the announcements of the boxes from the log.
func (h *sourceDirectory) withdraw(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	recs := make([]work.Record, 0, len(names))
	for _, name := range names {
		recs = append(recs, work.Record{Key: name})
	}
	if err := h.append(ctx, recs); err != nil {
		h.logger.Info("mirror: could not withdraw announced sources", "cause", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = h.announced && !slices.Contains(names, h.self.Name)
}

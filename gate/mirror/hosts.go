package mirror

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mulleingate.dev/gate/work"
)

// sourceDirectory keeps the sources of this box's zone that are announced in the log, so that a starting box
// finds them without the list of members. Each availability zone has its own shard, with a record per source.
type sourceDirectory struct {
	self   work.Box
	shard  work.Shard
	log    work.Log
	logger *slog.Logger

	mu sync.Mutex
	// known holds the sources that the last ReadAnnounced found.
	known []work.Box
	// announced reports whether this box is announced in the log. It stays a source until servesUntil, whatever
	// its rank.
	announced   bool
	servesUntil time.Time
}

func newSourceDirectory(self work.Box, zones []string, log work.Log, logger *slog.Logger) *sourceDirectory {
	zoneIndex := max(slices.Index(zones, self.Zone), 0)
	return &sourceDirectory{self: self, shard: work.Shard{Topic: work.CopySources, Number: zoneIndex}, log: log, logger: logger}
}

// Known returns the sources that the last ReadAnnounced found.
func (d *sourceDirectory) Known() []work.Box {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Serving reports whether this box is a source whatever its rank.
func (d *sourceDirectory) Serving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.servesUntil)
}

// ReadAnnounced reads the announced sources from the log; none if the log can't be read.
func (d *sourceDirectory) ReadAnnounced(ctx context.Context) []work.Box {
	var known []work.Box
	_, err := work.AllNewest(ctx, d.log, d.shard, logCallTimeout, func(rec work.Record) {
		if box, err := work.ParseMember(string(rec.Value)); err == nil && box.Zone == d.self.Zone {
			known = append(known, box)
		}
	})
	if err != nil {
		d.logger.Debug("mirror: announced sources not read", "cause", err)
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = known
	return known
}

// Announce adds this box to the announced sources. It then stays a source for period, whatever its rank.
func (d *sourceDirectory) Announce(ctx context.Context, period time.Duration) {
	if err := d.append(ctx, []work.Record{{Key: d.self.Name, Value: []byte(d.self.Member())}}); err != nil {
		d.logger.Info("mirror: could not announce this box as a source", "cause", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announced = true
	d.servesUntil = time.Now().Add(period)
	d.logger.Info("mirror: announced this box as a source", "serves", period)
}

func (d *sourceDirectory) append(ctx context.Context, recs []work.Record) error {
	return d.log.Append(ctx, d.shard, work.Writer{}, recs)
}

// UpdateAnnouncement announces this box if it ranks as a source and withdraws it if it no longer does. A box
// that becomes a source also withdraws the sources that are dead.
func (d *sourceDirectory) UpdateAnnouncement(ctx context.Context, isRanked bool, live []work.Box) {
	d.mu.Lock()
	wasAnnounced, serves := d.announced, time.Now().Before(d.servesUntil)
	d.mu.Unlock()
	switch {
	case isRanked && !wasAnnounced:
		d.Announce(ctx, 0)
		d.withdraw(ctx, d.deadSources(ctx, live))
	case wasAnnounced && !isRanked && !serves:
		d.withdraw(ctx, []string{d.self.Name})
	}
}

// deadSources returns the names of the announced sources that are not live.
func (d *sourceDirectory) deadSources(ctx context.Context, live []work.Box) []string {
	var dead []string
	for _, box := range d.ReadAnnounced(ctx) {
		if !contains(live, box.Name) {
			dead = append(dead, box.Name)
		}
	}
	return dead
}

// withdraw removes the announcements of the boxes from the log.
func (d *sourceDirectory) withdraw(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	recs := make([]work.Record, 0, len(names))
	for _, name := range names {
		recs = append(recs, work.Record{Key: name})
	}
	if err := d.append(ctx, recs); err != nil {
		d.logger.Info("mirror: could not withdraw announced sources", "cause", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announced = d.announced && !slices.Contains(names, d.self.Name)
}

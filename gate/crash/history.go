package crash

import (
	"cmp"
	"slices"
	"time"

	"mulleingate.dev/gate/work"
)

const (
	// maxCrashes is the number of replicas that may crash under a request before it is refused.
	maxCrashes = 3
	// retention is how long a crash counts. The cause may have been removed since then, for example by a new version
	// of the replicas.
	retention = 10 * time.Minute
	// maxRecords bounds the requests that are remembered; evictShare is the part of them that is evicted at once when
	// there are more.
	maxRecords = 4096
	evictShare = 8
	// maxReplicas bounds the replicas that are remembered for a request.
	maxReplicas = 8
)

// history holds the requests that were in progress on crashed replicas. It is not safe for concurrent use.
type history struct {
	records map[work.Fingerprint]*record
}

// record holds the crashes under one request.
type record struct {
	// ends holds at most maxReplicas entries, the oldest first.
	ends []end
}

// end is the crash of one replica.
type end struct {
	// replica is work.Replica.RunID.
	replica string
	at      time.Time
	// silent is set if the replica and its list entry disappeared, which a cut network may cause as well.
	silent bool
	// cleared is set once the request was answered after the crash.
	cleared bool
}

// counts reports whether the crash still counts.
func (e end) counts(now time.Time) bool {
	return !e.cleared && now.Sub(e.at) < retention
}

// add records that the replica crashed under the request, and reports whether that was not known.
func (h *history) add(now time.Time, req work.Fingerprint, crashed end) bool {
	if now.Sub(crashed.at) >= retention {
		return false
	}
	rec, ok := h.records[req]
	if !ok {
		if len(h.records) >= maxRecords {
			h.evict(now)
		}
		rec = &record{}
		h.records[req] = rec
	}
	if slices.ContainsFunc(rec.ends, func(known end) bool { return known.replica == crashed.replica }) {
		return false
	}
	if len(rec.ends) >= maxReplicas {
		rec.ends = rec.ends[1:]
	}
	rec.ends = append(rec.ends, crashed)
	return true
}

// count returns the number of replicas that crashed under the request.
func (h *history) count(now time.Time, req work.Fingerprint) int {
	return len(h.replicas(now, req))
}

// replicas returns the replicas that crashed under the request.
func (h *history) replicas(now time.Time, req work.Fingerprint) []string {
	rec, ok := h.records[req]
	if !ok {
		return nil
	}
	var ids []string
	for _, crashed := range rec.ends {
		if crashed.counts(now) {
			ids = append(ids, crashed.replica)
		}
	}
	return ids
}

// clear makes the known crashes under the request not count, since it was answered. They stay recorded, so that late
// reports of them do not count either.
func (h *history) clear(req work.Fingerprint) {
	rec, ok := h.records[req]
	if !ok {
		return
	}
	for i := range rec.ends {
		rec.ends[i].cleared = true
	}
}

// retract removes a replica that has not crashed after all.
func (h *history) retract(replica string) {
	for req, rec := range h.records {
		rec.ends = slices.DeleteFunc(rec.ends, func(crashed end) bool { return crashed.replica == replica })
		if len(rec.ends) == 0 {
			delete(h.records, req)
		}
	}
}

// evict drops the requests whose crashes have lapsed, and beyond that those with the fewest crashes, the oldest first.
func (h *history) evict(now time.Time) {
	type candidate struct {
		req   work.Fingerprint
		count int
		last  time.Time
	}
	var kept []candidate
	for req, rec := range h.records {
		last := rec.ends[len(rec.ends)-1].at
		if now.Sub(last) >= retention {
			delete(h.records, req)
			continue
		}
		kept = append(kept, candidate{req, h.count(now, req), last})
	}
	slices.SortFunc(kept, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.count, b.count), a.last.Compare(b.last))
	})
	for _, oldest := range kept[:max(0, len(kept)-maxRecords+maxRecords/evictShare)] {
		delete(h.records, oldest.req)
	}
}

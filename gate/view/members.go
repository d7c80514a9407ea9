package view

import (
	"slices"
	"time"

	"mulleingate.dev/gate/work"
)

// applyMembers updates the other boxes from the list of members that was read for the generation.
func (v *View) applyMembers(generation int64, members []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	before := v.parsedMembers
	listed := v.listedIncarnations(members)
	for name, incarnations := range listed {
		box := v.currentIncarnation(name, incarnations, before)
		v.liveChanged = v.liveChanged || v.peers[name].Box != box
		v.peers[name] = peerState{Box: box, member: true, lastSeen: now}
	}
	for name, peer := range v.peers {
		if len(listed[name]) == 0 {
			peer.member = false
			v.peers[name] = peer
		}
	}
	if v.membersGeneration != generation {
		v.rereadsLeft = rereadsAfterChange + 1
	}
	v.rereadsLeft--
	v.rereadAt = now.Add(heartbeatsPerReread*v.timing.HeartbeatInterval - v.timing.HeartbeatInterval/2)
	if v.rereadsLeft <= 0 {
		v.rereadAt = now.Add(v.timing.RereadInterval)
	}
	v.membersGeneration = generation
}

// listedIncarnations returns the other boxes among the members, by name, without the incarnations that have announced that
// they leave. A box that restarted is listed with several incarnations until the earlier ones expire.
func (v *View) listedIncarnations(members []string) map[string][]work.Box {
	listed := map[string][]work.Box{}
	for _, box := range v.parseMembers(members) {
		if box.Name == v.self.Name || v.departed[box.Name].Incarnation == box.Incarnation {
			continue
		}
		listed[box.Name] = append(listed[box.Name], box)
	}
	return listed
}

// currentIncarnation returns the current one of the listed incarnations of a box. If their order is not known, the one that
// this view has is kept as long as it is listed, unless another has only just appeared. before holds the members of
// the list that was read before this one, by their text form.
func (v *View) currentIncarnation(name string, incarnations []work.Box, before map[string]work.Box) work.Box {
	have, known := v.peers[name]
	var current work.Box
	if known && slices.Contains(incarnations, have.Box) {
		current = have.Box
	}
	for _, box := range incarnations {
		if known && box.Incarnation == v.previousIncarnations[name] {
			continue
		}
		_, repeated := before[box.Member()]
		appeared := !repeated && current == have.Box && !current.StartedAfter(box)
		if current == (work.Box{}) || box.StartedAfter(current) || appeared {
			current = box
		}
	}
	if current == (work.Box{}) {
		return have.Box // only the previous incarnation is listed: the list is older than the last one
	}
	if known && current.Incarnation != have.Incarnation {
		v.previousIncarnations[name] = have.Incarnation
	}
	return current
}

// parseMembers parses the members, reusing the results of the last list, since most members are in both.
func (v *View) parseMembers(members []string) []work.Box {
	parsed := make(map[string]work.Box, len(members))
	boxes := make([]work.Box, 0, len(members))
	for _, text := range members {
		box, ok := v.parsedMembers[text]
		if !ok {
			var err error
			if box, err = work.ParseMember(text); err != nil {
				v.logger.Warn("view: malformed member", "cause", err)
				continue
			}
		}
		parsed[text] = box
		boxes = append(boxes, box)
	}
	v.parsedMembers = parsed
	return boxes
}

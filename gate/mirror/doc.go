// Package mirror has few boxes of each availability zone read what all boxes must know from the log: the operators' settings,
// the list of replicas and the members of the fleet. The others ask those, the sources, and hear of a replica only if
// it is among the part that they know (package subset). Where a zone has few boxes each reads for itself, as does a box
// that no source answers in time.
//
// What a source tells is as old as the question that its own last answer came from; that age travels along, so that the
// bounds of package access hold whoever told. A source that has not heard of the log lately tells nothing.
package mirror

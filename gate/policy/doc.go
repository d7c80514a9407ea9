// Package policy keeps this box on the newest published revision of the configuration. It
// reads revisions from the configuration stream and fetches them from boxes that have a newer
// one. It never returns to an older revision.
package policy

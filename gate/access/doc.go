// Package access decides which calls are allowed, by the caller's key and by how recently the box's
// configuration was confirmed as the newest.
package access

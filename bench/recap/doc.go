// Package recap summarizes logs of boxes: by route and interval, where calls spent their time and
// why they were refused or failed.
package recap

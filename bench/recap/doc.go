// Package recap sums up logs of boxes: by route and time, where calls spent their time and why they
// were refused or failed.
package recap

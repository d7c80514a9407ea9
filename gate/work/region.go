package work

import "slices"

// Regions tells the region of each availability zone.
type Regions map[string]string

// Allow reports whether what is bound to the allowed regions may be in the availability zone. None bind nothing.
func (r Regions) Allow(allowed []string, zone string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, r[zone])
}

// BothRegions returns the regions that two bounds allow together; none bind nothing. It returns false if the two
// have no region in common.
func BothRegions(a, b []string) ([]string, bool) {
	if len(a) == 0 || len(b) == 0 {
		return slices.Concat(a, b), true
	}
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

package work

import "slices"

// Regions maps each availability zone to its region.
type Regions map[string]string

// Allow reports whether the zone is in one of the allowed regions. An empty list allows all regions.
func (r Regions) Allow(allowed []string, zone string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, r[zone])
}

// IntersectRegions returns the intersection of two lists of allowed regions, where an empty list allows all.
// It returns false if the two lists have no region in common.
func IntersectRegions(a, b []string) ([]string, bool) {
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

package controlplane

import (
	"reflect"
	"testing"
)

// TestNearestProxies checks that the quota of a warming endpoint is divided among the proxies of
// its zone, or else of its region, or else among all.
func TestNearestProxies(t *testing.T) {
	proxies := &proxiesByLocality{
		byZone:   map[string][]string{"a": {"p1"}, "b": {"p2"}},
		byRegion: map[string][]string{"r1": {"p1", "p2"}, "r2": {"p3"}},
		all:      []string{"p1", "p2", "p3"},
	}
	for _, c := range []struct {
		name         string
		zone, region string
		want         []string
	}{
		{"proxies in the zone", "a", "r1", []string{"p1"}},
		{"none in the zone", "c", "r1", []string{"p1", "p2"}},
		{"none in the region", "d", "r3", []string{"p1", "p2", "p3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := proxies.nearest(c.zone, c.region); !reflect.DeepEqual(got, c.want) {
				t.Errorf("nearest = %v, want %v", got, c.want)
			}
		})
	}
}

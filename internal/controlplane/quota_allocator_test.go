package controlplane

import (
	"reflect"
	"testing"
)

// TestNearestProxies: an endpoint that warms up is shared out among the proxies of its
// zone, without any among those of its region, without any among all.
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
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

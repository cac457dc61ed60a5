package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
)

// seedCountOfSettings is how many seed nodes the settings name.
const seedCountOfSettings = 3

// deployment is what a run draws of the deployment itself. Its zero value has core nodes for seeds, one
// zone and settings that name all bounds.
type deployment struct {
	// disklessSeeds is how many of the first seeds are nodes without a disk.
	disklessSeeds int
	// extraZones is how many zones there are besides the first.
	extraZones int
	// omitsOptionalBounds leaves out the bounds that settings need not name.
	omitsOptionalBounds bool
	// endsWithFirstVersion kills everything when the first configuration is acknowledged.
	endsWithFirstVersion bool
}

// drawDeployment draws a deployment from a seed.
func drawDeployment(seed int64) deployment {
	random := rand.New(rand.NewSource(seed))
	return deployment{
		disklessSeeds:        random.Intn(min(seedCountOfSettings, len(relayNodes)) + 1),
		extraZones:           random.Intn(3),
		omitsOptionalBounds:  random.Intn(2) == 0,
		endsWithFirstVersion: random.Intn(2) == 0,
	}
}

// String describes the deployment in messages.
func (d deployment) String() string {
	return fmt.Sprintf("%d of the first seeds without a disk, %d zones, all bounds %v, killed at the first version %v",
		d.disklessSeeds, 1+d.extraZones, !d.omitsOptionalBounds, d.endsWithFirstVersion)
}

// firstSeeds returns the API addresses of the first seeds.
func (d deployment) firstSeeds() (addresses []string) {
	seeds := append(slices.Clone(relayNodes[:d.disklessSeeds]), coreNodes...)
	for _, n := range seeds[:seedCountOfSettings] {
		addresses = append(addresses, n.address(controlPort))
	}
	return addresses
}

// zoneOf returns the zone of the i-th node or endpoint.
func (d deployment) zoneOf(i int) string { return fmt.Sprint("zone-", i%(1+d.extraZones)) }

// zonesTable returns the zones as the settings list them. All are in one region.
func (d deployment) zonesTable() string {
	var table strings.Builder
	for i := range 1 + d.extraZones {
		fmt.Fprintf(&table, "%s = \"home\"\n", d.zoneOf(i))
	}
	return table.String()
}

// optionalBounds returns the bounds that settings need not name.
func (d deployment) optionalBounds() string {
	if d.omitsOptionalBounds {
		return ""
	}
	return "history_retention_s = 20\nrelease_s = 1.5\n"
}

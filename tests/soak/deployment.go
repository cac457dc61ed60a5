package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
)

// configuredSeedCount is the number of seed nodes in the settings.
const configuredSeedCount = 3

// deployment holds the randomized properties of the deployment. Its zero value has only core nodes as
// seed nodes, a single zone, and settings that include all bounds.
type deployment struct {
	// disklessSeeds is how many of the initial seed nodes have no disk.
	disklessSeeds int
	// extraZones is the number of zones besides the first.
	extraZones int
	// omitsOptionalBounds leaves the optional bounds out of the settings.
	omitsOptionalBounds bool
	// killsAllAtFirstVersion kills all processes when the first configuration is acknowledged.
	killsAllAtFirstVersion bool
}

// randomDeployment generates a deployment from a seed.
func randomDeployment(seed int64) deployment {
	random := rand.New(rand.NewSource(seed))
	return deployment{
		disklessSeeds:          random.Intn(min(configuredSeedCount, len(relayNodes)) + 1),
		extraZones:             random.Intn(3),
		omitsOptionalBounds:    random.Intn(2) == 0,
		killsAllAtFirstVersion: random.Intn(2) == 0,
	}
}

// String describes the deployment in test output.
func (d deployment) String() string {
	return fmt.Sprintf("%d diskless seed nodes, %d zones, all bounds set: %v, all killed at the first version: %v",
		d.disklessSeeds, 1+d.extraZones, !d.omitsOptionalBounds, d.killsAllAtFirstVersion)
}

// firstSeeds returns the API addresses of the initial seed nodes.
func (d deployment) firstSeeds() (addresses []string) {
	seeds := append(slices.Clone(relayNodes[:d.disklessSeeds]), coreNodes...)
	for _, n := range seeds[:configuredSeedCount] {
		addresses = append(addresses, n.address(controlPort))
	}
	return addresses
}

// zoneOf returns the zone of the i-th node or endpoint.
func (d deployment) zoneOf(i int) string { return fmt.Sprint("zone-", i%(1+d.extraZones)) }

// zonesTable returns the [zones] table of the settings. All zones are in one region.
func (d deployment) zonesTable() string {
	var table strings.Builder
	for i := range 1 + d.extraZones {
		fmt.Fprintf(&table, "%s = \"home\"\n", d.zoneOf(i))
	}
	return table.String()
}

// optionalBounds returns the settings lines of the optional bounds.
func (d deployment) optionalBounds() string {
	if d.omitsOptionalBounds {
		return ""
	}
	return "history_retention_s = 20\nrelease_s = 1.5\n"
}

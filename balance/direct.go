package balance

// Place is one proxy node as the directory knows it.
type Place struct {
	Address string
	Zone    string
	Leaving bool
}

// Direct chooses the proxy nodes that a client of a zone is sent to, at most
// most of them: those of its zone; with those of its region if its zone has few
// left; else whatever there is. A zone has few left when it has less than half
// of what zones have on the mean. Nodes that leave are named only where nothing
// else is. pick(n) gives a number below n.
func Direct(all []Place, zone, region string, regionOf func(zone string) string, most int, pick func(n int) int) []string {
	var here, near, any, leaving []string
	zones := map[string]bool{}
	for _, p := range all {
		zones[p.Zone] = true
		switch {
		case p.Leaving:
			leaving = append(leaving, p.Address)
			continue
		case p.Zone == zone:
			here = append(here, p.Address)
		}
		if r := regionOf(p.Zone); r != "" && r == region {
			near = append(near, p.Address)
		}
		any = append(any, p.Address)
	}
	out := here
	if 2*len(here)*len(zones) < len(any) || len(here) == 0 {
		if out = near; len(near) == 0 {
			out = any
		}
	}
	if len(out) == 0 {
		out = leaving
	}
	// More than fit: a lot, so that clients spread over all of them.
	for i := 0; i < len(out) && i < most; i++ {
		j := i + pick(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:min(len(out), most)]
}

package main

import (
	"net/url"
	"slices"
	"strings"
)

// listEvacuations is the command "evac list".
func (c *cli) listEvacuations() error {
	var response struct {
		Zones map[string]string `json:"zones"`
	}
	if err := c.queryJSON("evacuations.read", []byte{}, &response); err != nil {
		return err
	}
	lines := []string{}
	for zone, state := range response.Zones {
		lines = append(lines, zone+"  "+state)
	}
	slices.Sort(lines)
	if len(lines) == 0 {
		lines = append(lines, "all zones are in ordinary use")
	}
	return c.printResult(strings.Join(lines, "\n"), response)
}

// changeEvacuation implements the commands "evac begin" and "evac finish".
func (c *cli) changeEvacuation() error {
	if len(c.args) != 1 {
		return exitErrorf(exitUsage, "%s takes one zone", c.commandName)
	}
	zone := c.args[0]
	operation := strings.TrimPrefix(c.commandName, "evac ")
	node, err := c.submit("evacuations."+operation+"&of="+url.QueryEscape(zone), []byte{})
	if err != nil {
		return err
	}
	return c.printResult("acknowledged by "+node+": "+c.commandName+" "+zone, map[string]any{
		"acknowledged": true,
		"node":         node,
		"zone":         zone,
	})
}

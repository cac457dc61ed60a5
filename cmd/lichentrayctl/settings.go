package main

import (
	"fmt"

	"lichentray/internal/settings"
)

// checkSettings is the command "settings check".
func (c *cli) checkSettings() error {
	path := settings.ResolvePath(c.settingsPath)
	if len(c.args) > 1 {
		return exitErrorf(exitUsage, "settings check takes one file")
	}
	if len(c.args) == 1 {
		path = c.args[0]
	}
	set, err := settings.Load(path)
	if err != nil {
		return exitErrorf(exitInvalid, "%v", err)
	}
	text := fmt.Sprintf("%s: valid, node %s in zone %s", path, set.NodeName, set.Zone)
	return c.printResult(text, map[string]any{
		"valid":     true,
		"file":      path,
		"node_name": set.NodeName,
		"zone":      set.Zone,
		"serves":    set.Serves,
	})
}

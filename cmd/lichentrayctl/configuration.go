package main

import (
	"fmt"

	"lichentray/config"
)

// checkConfiguration is the command "config check".
func (c *cli) checkConfiguration() error {
	_, configuration, err := c.loadConfiguration()
	if err != nil {
		return err
	}
	text, fields := describeConfiguration(configuration)
	fields["valid"] = true
	return c.printResult("valid: "+text, fields)
}

// printConfiguration is the command "config read". It prints the configuration exactly as it was
// submitted.
func (c *cli) printConfiguration() error {
	text, err := c.query("configuration.read", []byte{})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, string(text))
	return err
}

// replaceConfiguration is the command "config replace".
func (c *cli) replaceConfiguration() error {
	text, configuration, err := c.loadConfiguration()
	if err != nil {
		return err
	}
	node, err := c.submit("configuration.replace", text)
	if err != nil {
		return err
	}
	description, fields := describeConfiguration(configuration)
	fields["acknowledged"] = true
	fields["node"] = node
	return c.printResult("acknowledged by "+node+": "+description+"\n(a version that is not above the one held changes nothing)", fields)
}

// loadConfiguration reads and validates the configuration file that is the argument of the command.
func (c *cli) loadConfiguration() ([]byte, *config.Configuration, error) {
	text, err := c.readInput()
	if err != nil {
		return nil, nil, err
	}
	configuration, err := config.Parse(text)
	if err != nil {
		return nil, nil, exitErrorf(exitInvalid, "configuration: %v", err)
	}
	return text, configuration, nil
}

// describeConfiguration returns a summary of a configuration as text and as the fields of a JSON
// object.
func describeConfiguration(c *config.Configuration) (text string, fields map[string]any) {
	routes := 0
	for _, l := range c.Listeners {
		routes += len(l.Rules)
	}
	text = fmt.Sprintf("version %d, %d routes on %d hosts, %d services", c.Version, routes, len(c.Listeners), len(c.Clusters))
	return text, map[string]any{
		"config_version": c.Version,
		"routes":         routes,
		"hosts":          len(c.Listeners),
		"services":       len(c.Clusters),
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"
)

// beginRollout is the command "rollout begin".
func (c *cli) beginRollout() error {
	if len(c.args) != 3 {
		return exitErrorf(exitUsage, "rollout begin takes a service, a version and a duration")
	}
	service, version := c.args[0], c.args[1]
	deadline, err := time.ParseDuration(c.args[2])
	if err != nil || deadline <= 0 {
		return exitErrorf(exitUsage, "%q is not a positive duration such as 12s", c.args[2])
	}
	body, err := json.Marshal(map[string]any{
		"backend_service": service,
		"target_version":  version,
		"deadline_s":      deadline.Seconds(),
	})
	if err != nil {
		return err
	}
	node, err := c.submit("rollouts.begin", body)
	if err != nil {
		return err
	}
	return c.printResult(fmt.Sprintf("acknowledged by %s: %s moves to %s", node, service, version), map[string]any{
		"acknowledged":    true,
		"node":            node,
		"backend_service": service,
		"target_version":  version,
	})
}

// printRollout is the command "rollout read".
func (c *cli) printRollout() error {
	if len(c.args) != 1 {
		return exitErrorf(exitUsage, "rollout read takes one service")
	}
	service := c.args[0]
	var response struct {
		State  string  `json:"state"`
		Target string  `json:"target_version"`
		Base   string  `json:"base_version"`
		Share  float64 `json:"share"`
		Reason string  `json:"why,omitempty"`
	}
	if err := c.queryJSON("rollouts.read&of="+url.QueryEscape(service), []byte{}, &response); err != nil {
		return err
	}
	text := fmt.Sprintf("%s: %s to %s, in use %s, share of the new one %g",
		service, response.State, response.Target, response.Base, response.Share)
	if response.Reason != "" {
		text += "\n" + response.Reason
	}
	return c.printResult(text, response)
}

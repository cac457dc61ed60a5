package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"slices"
)

// checkNodes checks at each control-plane node that all acknowledged state is present.
func (s *session) checkNodes(ctx context.Context, isFinal bool) error {
	if err := s.waitForEndpoints(ctx); err != nil {
		return err
	}
	for _, ip := range coreIPs {
		if err := s.checkNode(ctx, ip, isFinal); err != nil {
			return fmt.Errorf("node %s: %w", ip, err)
		}
	}
	return nil
}

// checkNode checks the acknowledged state at one control-plane node.
func (s *session) checkNode(ctx context.Context, ip string, isFinal bool) error {
	status, err := s.waitForNode(ctx, ip, 0)
	if err != nil {
		return err
	}
	if status.ConfigVersion != uint64(s.configVersion) {
		s.findings.addf("%s: config_version in the status = %d, want %d", ip, status.ConfigVersion, s.configVersion)
	}
	c := newClient(controlAddress(ip))
	if err := s.checkConfiguration(ctx, c); err != nil {
		return err
	}
	for _, name := range cellNames {
		if err := readCell(ctx, c, s.history, name); err != nil {
			return err
		}
	}
	upTo := s.history.highestRevision()
	if err := resumeWatch(ctx, c, s.history, "watch resumed at "+ip, s.load.startRevision, upTo, isFinal); err != nil {
		return err
	}
	if err := s.checkEvacuation(ctx, c); err != nil {
		return err
	}
	if err := s.checkAudit(ctx, c); err != nil {
		return err
	}
	return waitFor(ctx, func() error { return s.checkDirectory(ctx, ip) })
}

// checkConfiguration checks that the current configuration is the last acknowledged one.
func (s *session) checkConfiguration(ctx context.Context, c *client) error {
	var text json.RawMessage
	status, err := c.rpc(ctx, "configuration.read", "", nil, &text)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("configuration.read: status %d, want 200", status)
	}
	return compareJSON(text, []byte(configurationText(s.configVersion)))
}

// compareJSON returns an error if two JSON texts encode different values.
func compareJSON(got, want []byte) error {
	var g, w any
	if err := errors.Join(json.Unmarshal(got, &g), json.Unmarshal(want, &w)); err != nil {
		return err
	}
	if !reflect.DeepEqual(g, w) {
		return fmt.Errorf("got %s\nwant %s", bytes.TrimSpace(got), want)
	}
	return nil
}

// checkEvacuation checks that evacuatedZone is the only evacuated zone.
func (s *session) checkEvacuation(ctx context.Context, c *client) error {
	var answer struct {
		Zones map[string]string `json:"zones"`
	}
	status, err := c.rpc(ctx, "evacuations.read", "", nil, &answer)
	if err != nil {
		return err
	}
	if want := map[string]string{evacuatedZone: "evacuated"}; status != http.StatusOK || !maps.Equal(answer.Zones, want) {
		return fmt.Errorf("evacuations.read: status %d, zones %v, want %v", status, answer.Zones, want)
	}
	return nil
}

// checkDirectory checks that a node's directory resolves helloHost to the proxy.
func (s *session) checkDirectory(ctx context.Context, ip string) error {
	url := "http://" + ip + ":" + directoryPort + "/api/resolve?zone=here&name=" + helloHost
	status, text, err := s.client.attempt(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return err
	}
	if want := []string{proxyIP + ":" + frontendPort}; status != http.StatusOK || !slices.Equal(answer.Addresses, want) {
		return fmt.Errorf("resolve of the proxy: status %d, %s, want %v", status, text, want)
	}
	return nil
}

// checkFinalState reads back all acknowledged state after the load has stopped.
func (s *session) checkFinalState(ctx context.Context) error {
	fmt.Println("final check")
	if err := s.checkNodes(ctx, true); err != nil {
		return fmt.Errorf("final check: %w", err)
	}
	s.history.checkAll()
	if err := s.checkHeldLock(ctx); err != nil {
		return err
	}
	for _, v := range []programs{s.cluster.first, s.cluster.second} {
		text, err := s.cluster.runCommand(ctx, v, "config", "read")
		if err == nil {
			err = compareJSON(text, []byte(configurationText(s.configVersion)))
		}
		if err == nil {
			_, err = s.cluster.runCommand(ctx, v, "status")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkHeldLock checks that the held lock can be renewed with its fencing token, and that the next
// holder gets a token higher than all earlier ones.
func (s *session) checkHeldLock(ctx context.Context) error {
	if err := s.load.renewHeldLock(ctx, 0); err != nil {
		return err
	}
	if err := s.releaseHeldLock(ctx); err != nil {
		return err
	}
	before := s.history.highestFence()
	status, fence, err := s.load.acquire(ctx, heldLock, "next", heldLease)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("acquiring a released lock: status %d, want 200", status)
	}
	s.history.addFence(before, fence)
	return nil
}

// releaseHeldLock releases the held lock. A recently elected leader withholds a release, as it may be
// older than an acquisition that the leader does not know of (docs/notes/locks.md). The holder then
// keeps the lock: its next acquisition must return a new fencing token, and a release with that token
// must free the lock.
func (s *session) releaseHeldLock(ctx context.Context) error {
	release := func() error {
		_, err := s.client.rpc(ctx, "locks.finish", heldLock, map[string]any{"holder": heldLockHolder, "fence": s.load.heldFence}, nil)
		return err
	}
	if err := release(); err != nil {
		return err
	}
	before := s.history.highestFence()
	status, fence, err := s.load.acquire(ctx, heldLock, heldLockHolder, heldLease)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("acquiring a lock again after its release by the same holder: status %d, want 200", status)
	}
	s.history.addFence(before, fence)
	s.load.heldFence = fence
	return release()
}

// checkAudit checks that the audit log has exactly one failure of kind late for each late request.
func (s *session) checkAudit(ctx context.Context, c *client) error {
	var answer struct {
		Failures []struct {
			Tenant  string `json:"tenant"`
			Request string `json:"request"`
			Kind    string `json:"kind"`
		} `json:"failures"`
	}
	for _, request := range s.lateRequests {
		status, err := c.rpc(ctx, "accounts.read", "", map[string]any{"request": request}, &answer)
		if err != nil {
			return err
		}
		if status != http.StatusOK || len(answer.Failures) != 1 || answer.Failures[0].Kind != "late" || answer.Failures[0].Tenant != "tenant" {
			return fmt.Errorf("audit log of request %s: status %d, %+v; want one failure of kind late", request, status, answer.Failures)
		}
	}
	return nil
}

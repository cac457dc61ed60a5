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

// checkNodes asks every control-plane node by itself for all that was acknowledged.
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

// checkNode asks one control-plane node.
func (s *session) checkNode(ctx context.Context, ip string, isFinal bool) error {
	status, err := s.waitForNode(ctx, ip, 0)
	if err != nil {
		return err
	}
	if status.ConfigVersion != uint64(s.configuration) {
		s.findings.addf("%s: status has configuration %d, want %d", ip, status.ConfigVersion, s.configuration)
	}
	c := newClient(controlAddress(ip))
	if err := s.checkConfiguration(ctx, c); err != nil {
		return err
	}
	for _, name := range cells {
		if err := readCell(ctx, c, s.history, name); err != nil {
			return err
		}
	}
	upTo := s.history.highestRevision()
	if err := resumeWatch(ctx, c, s.history, "watch resumed at "+ip, s.load.from, upTo, isFinal); err != nil {
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

// checkConfiguration compares the configuration that reads with the one acknowledged.
func (s *session) checkConfiguration(ctx context.Context, c *client) error {
	var text json.RawMessage
	status, err := c.rpc(ctx, "configuration.read", "", nil, &text)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("configuration: status %d", status)
	}
	return compareJSON(text, []byte(configurationText(s.configuration)))
}

// compareJSON returns an error if two texts do not mean the same.
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

// checkEvacuation checks that the evacuated zone, and no other, is so.
func (s *session) checkEvacuation(ctx context.Context, c *client) error {
	var answer struct {
		Zones map[string]string `json:"zones"`
	}
	status, err := c.rpc(ctx, "evacuations.read", "", nil, &answer)
	if err != nil {
		return err
	}
	if want := map[string]string{evacuatedZone: "evacuated"}; status != http.StatusOK || !maps.Equal(answer.Zones, want) {
		return fmt.Errorf("evacuations: status %d, %v, want %v", status, answer.Zones, want)
	}
	return nil
}

// checkDirectory checks that a node's directory names the proxy.
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
		return fmt.Errorf("directory: status %d, %s, want %v", status, text, want)
	}
	return nil
}

// checkAtEnd reads back everything once nothing is under way.
func (s *session) checkAtEnd(ctx context.Context) error {
	fmt.Println("read back")
	if err := s.checkNodes(ctx, true); err != nil {
		return fmt.Errorf("read back: %w", err)
	}
	s.history.checkAll()
	if err := s.checkHeldLock(ctx); err != nil {
		return err
	}
	for _, v := range []programs{s.cluster.first, s.cluster.second} {
		text, err := s.cluster.runCommand(ctx, v, "config", "read")
		if err == nil {
			err = compareJSON(text, []byte(configurationText(s.configuration)))
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

// checkHeldLock checks that the held lock has kept its fence, which a renewal names, and that the
// next holder gets one above all others.
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
		return fmt.Errorf("lock that was given back: status %d", status)
	}
	s.history.addFence(before, fence)
	return nil
}

// releaseHeldLock gives the held lock back. A leader that has not led for long withholds a release, as
// it may be older than an acquisition that it does not know of (docs/notes/locks.md): the holder
// keeps the lock, its next acquisition must give it a new fence, and the release under that one must
// free the lock.
func (s *session) releaseHeldLock(ctx context.Context) error {
	release := func() error {
		_, err := s.client.rpc(ctx, "locks.finish", heldLock, map[string]any{"holder": heldLockBy, "fence": s.load.held}, nil)
		return err
	}
	if err := release(); err != nil {
		return err
	}
	before := s.history.highestFence()
	status, fence, err := s.load.acquire(ctx, heldLock, heldLockBy, heldLease)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("lock that its holder acquires after a release: status %d", status)
	}
	s.history.addFence(before, fence)
	s.load.held = fence
	return release()
}

// checkAudit checks that the audit log holds each late request once.
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
			return fmt.Errorf("audit log of request %s: status %d, %+v; want one late answer", request, status, answer.Failures)
		}
	}
	return nil
}

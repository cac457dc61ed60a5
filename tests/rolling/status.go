package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// pollInterval is the interval between two checks of a condition that is waited for.
const pollInterval = 50 * time.Millisecond

// waitFor repeats check until it returns nil. After operationTimeout it returns the last
// error.
func waitFor(ctx context.Context, check func() error) error {
	end := time.Now().Add(operationTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out after %v: %w", operationTimeout, err)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %w", ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}

// nodeStatus is the part of a control-plane node's status that the checks use.
type nodeStatus struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Term          uint64 `json:"term"`
	Leader        string `json:"leader"`
	Revision      uint64 `json:"revision"`
	ConfigVersion uint64 `json:"config_version"`
	Endpoints     int    `json:"endpoints"`
	IsUpToDate    bool   `json:"in_touch"`
	Members       []struct {
		ID      string `json:"id"`
		API     string `json:"control_plane"`
		IsVoter bool   `json:"voter"`
	} `json:"members"`
}

// nodeStatus returns the status of one control-plane node.
func (s *session) nodeStatus(ctx context.Context, ip string) (*nodeStatus, error) {
	status, text, err := s.client.attempt(ctx, http.MethodGet, "http://"+controlAddress(ip)+"/api/status", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("status of %s: status %d, want 200", ip, status)
	}
	n := &nodeStatus{}
	return n, json.Unmarshal(text, n)
}

// describeLeader returns a text with the leader's address and version.
func (s *session) describeLeader(n *nodeStatus) string {
	for _, m := range n.Members {
		if m.ID != n.Leader {
			continue
		}
		for _, ip := range coreIPs {
			if m.API == controlAddress(ip) {
				return fmt.Sprintf("leader %s on the %s version", ip, s.nodeVersions[ip])
			}
		}
	}
	return "no leader"
}

// waitForNode waits until a control-plane node is up to date as a member of the core and
// has reached a revision.
func (s *session) waitForNode(ctx context.Context, ip string, revision uint64) (n *nodeStatus, err error) {
	began := time.Now()
	err = waitFor(ctx, func() error {
		if n, err = s.nodeStatus(ctx, ip); err != nil {
			return err
		}
		return s.checkMember(n, revision)
	})
	if err != nil {
		return nil, fmt.Errorf("%s is not up: %w", ip, err)
	}
	if took := time.Since(began); took > pollInterval {
		fmt.Printf("  %s is up after %.2f s at revision %d\n", ip, took.Seconds(), n.Revision)
	}
	return n, nil
}

// checkMember checks that a node is up to date, has reached a revision, and has the same
// three members as at the start, all of them voters: a node that cannot read its data
// directory would rejoin with another identity.
func (s *session) checkMember(n *nodeStatus, revision uint64) error {
	var ids []string
	for _, m := range n.Members {
		if m.IsVoter {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	switch {
	case !n.IsUpToDate:
		return fmt.Errorf("not up to date: %+v", *n)
	case len(ids) != len(coreIPs) || len(n.Members) != len(coreIPs):
		return fmt.Errorf("members %+v, want three voters", n.Members)
	case n.Revision < revision:
		return fmt.Errorf("revision %d, want at least %d", n.Revision, revision)
	case s.memberIDs == nil:
		s.memberIDs = ids
	case !slices.Equal(ids, s.memberIDs):
		return fmt.Errorf("members %v, want %v", ids, s.memberIDs)
	}
	return nil
}

// waitForEndpoints waits until every control-plane node reports the number of running endpoints.
func (s *session) waitForEndpoints(ctx context.Context) error {
	return waitFor(ctx, func() error {
		for _, ip := range coreIPs {
			n, err := s.nodeStatus(ctx, ip)
			if err != nil {
				return err
			}
			if n.Endpoints != len(s.endpointIDs) {
				return fmt.Errorf("%s: status has %d endpoints, want %d", ip, n.Endpoints, len(s.endpointIDs))
			}
		}
		return nil
	})
}

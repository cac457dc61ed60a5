package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// recoveryBound is the longest time for full recovery after the last fault. It is far above recovery_s
// of the settings, to allow for a busy machine.
const recoveryBound = 60 * time.Second

// get sends a GET request to a node and returns the status and body.
func (w *workload) get(ctx context.Context, address, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := w.callers.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// checkCore returns an error unless every core node is a voter under its current ID and is up to
// date. Only then does the deployment tolerate the loss of another disk.
func (w *workload) checkCore(ctx context.Context) error {
	for _, n := range coreNodes {
		status, body, err := w.get(ctx, n.address(controlPort), "/api/status")
		if err != nil {
			return err
		}
		var state struct {
			ID         string `json:"id"`
			IsUpToDate bool   `json:"in_touch"`
			Members    []struct {
				ID      string `json:"id"`
				IsVoter bool   `json:"voter"`
			} `json:"members"`
		}
		if err := json.Unmarshal(body, &state); err != nil {
			return fmt.Errorf("%s: status %d: %w", n.name, status, err)
		}
		voters, isVoter := 0, false
		for _, m := range state.Members {
			if m.IsVoter {
				voters++
				isVoter = isVoter || m.ID == state.ID
			}
		}
		if !state.IsUpToDate || !isVoter || voters != len(coreNodes) {
			return fmt.Errorf("%s: up to date %v, is a voter %v, %d voters", n.name, state.IsUpToDate, isVoter, voters)
		}
	}
	return nil
}

// checkService returns an error unless every control-plane node answers calls and every proxy is ready
// and serves requests.
func (w *workload) checkService(ctx context.Context) error {
	for _, n := range controlNodes() {
		if status, _ := w.callOnce(ctx, n, "evacuations.read", struct{}{}); status != http.StatusOK {
			return fmt.Errorf("call to %s returned status %d", n.name, status)
		}
	}
	for _, n := range proxyNodes {
		status, _, err := w.get(ctx, n.address(readinessPort), "/api/readiness")
		if err != nil {
			return fmt.Errorf("%s: readiness: %w", n.name, err)
		}
		if status != http.StatusOK {
			return fmt.Errorf("%s: readiness status %d", n.name, status)
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		r, id := w.newRequest(ctx, n, http.MethodGet, "safe", requestTimeout)
		status = w.send(http.DefaultClient, r, id)
		cancel()
		if status != http.StatusOK {
			return fmt.Errorf("request to %s returned status %d", n.name, status)
		}
	}
	return nil
}

// waitForFirstVersion waits until a configuration is acknowledged, and returns without further delay, so
// that a kill right after it comes before the configuration is stored anywhere but where the
// acknowledgement required it.
func (w *workload) waitForFirstVersion() {
	for began := time.Now(); w.checks.acknowledgedVersion() == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > recoveryBound {
			w.checks.fail("no configuration was acknowledged within %v", recoveryBound)
			return
		}
	}
}

// waitForRecovery waits until the core and the service work, and returns the last error if they do not
// within recoveryBound.
func (w *workload) waitForRecovery(ctx context.Context) (took time.Duration, err error) {
	began := time.Now()
	for {
		if err = errors.Join(w.checkCore(ctx), w.checkService(ctx)); err == nil {
			return time.Since(began), nil
		}
		if time.Since(began) > recoveryBound || ctx.Err() != nil {
			return time.Since(began), err
		}
		pause(ctx, workerPause)
	}
}

// checkAcknowledgedState checks that randomly chosen control-plane nodes return the acknowledged state.
// It gives up after recoveryBound, as calls get no response if the service has not recovered.
func (w *workload) checkAcknowledgedState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	random := rand.New(rand.NewSource(1))
	for range len(controlNodes()) * 4 {
		w.readConfiguration(ctx, random)
	}
	w.takeNumber(ctx, random)
	w.acquireAndReleaseLock(ctx, random)
}

// checkInvariants records each nonzero invariant violation counter of a process. The counters start at
// zero with each process. A process that does not answer is skipped, as it may be down.
func (w *workload) checkInvariants(ctx context.Context) {
	for _, n := range allNodes() {
		_, body, err := w.get(ctx, n.metricsAddress(), "/metrics")
		if err != nil {
			continue
		}
		for scanner := bufio.NewScanner(strings.NewReader(string(body))); scanner.Scan(); {
			line := scanner.Text()
			if strings.HasPrefix(line, "lichentray_invariant_violations_total") && !strings.HasSuffix(line, " 0") {
				w.checks.fail("%s reports %s", n.name, line)
			}
		}
	}
}

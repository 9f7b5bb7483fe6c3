package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// call sends a call until it is acknowledged or refused, to one control machine after the other.
func (w *world) call(method, path string, body []byte) error {
	client := &http.Client{Timeout: answerLimit}
	for i := range 40 {
		at := w.controlAddress(i % len(w.cores))
		req, err := http.NewRequest(method, "http://"+at+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				w.logf("%s %s is acknowledged with %d", method, path, resp.StatusCode)
				return nil
			}
			if resp.StatusCode/100 == 4 {
				return fmt.Errorf("%s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(text)))
			}
		}
		time.Sleep(time.Duration(100+50*i) * time.Millisecond)
	}
	return fmt.Errorf("%s %s is not acknowledged", method, path)
}

// service is a service of the desired state, with a route of its own.
type service struct {
	name, kind string
	// coldRate is cold-per-s; 0 sets none.
	coldRate float64
}

func (w *world) declare(version int, services []service) error {
	var routes, declared []map[string]any
	for i, s := range services {
		r := w.route(i)
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": r.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", r.Port()), "type": s.kind,
			"timeout-ms": 3000, "target-latency-ms": 150, "priority": 1, "service": s.name, "max-attempts": 2,
		})
		if i == 0 || services[i-1].name != s.name {
			declared = append(declared, map[string]any{
				"name": s.name, "health-check-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false, "cold-start-s": 2.0, "cold-per-s": s.coldRate,
			})
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": declared,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	w.logf("operator sends version %d", version)
	return w.call(http.MethodPut, "/redwingledge/config", body)
}

// leader returns the address of the control machine that takes calls itself; the others answer
// with 307.
func (w *world) leader() string {
	client := &http.Client{Timeout: answerLimit, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for i := range w.cores {
		resp, err := client.Get("http://" + w.controlAddress(i) + "/redwingledge/config")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return w.controlAddress(i)
		}
	}
	return w.controlAddress(0)
}

// readBack asks each control machine for the desired state, and returns its version, or 0.
func (w *world) readBack() int {
	client := &http.Client{Timeout: answerLimit}
	for i, v := range w.cores {
		if v.isRemoved {
			continue
		}
		resp, err := client.Get("http://" + w.controlAddress(i) + "/redwingledge/config")
		if err != nil {
			w.logf("operator: GET config at %s: %v", v.name, err)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var state struct{ Version int }
		if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &state) == nil {
			return state.Version
		}
		w.logf("operator: GET config at %s: %d %s", v.name, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return 0
}

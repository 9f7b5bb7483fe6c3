package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// answerTimeout is how long callers of control wait for an answer.
	answerTimeout = time.Second
	// maxRedirects is how many redirects a caller follows.
	maxRedirects = 2
	// firstBackoff is the pause after the first failure of a call. It doubles up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

var errManyRedirects = errors.New("too many redirects")

// send makes one attempt of a call at one node. The status is 0 without an answer.
func send(node, method, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	client := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return errManyRedirects
			}
			return nil
		},
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// order sends an order of the operator until it is acknowledged, or ended as PROTOCOL.md says, or for the time given.
// It returns when the acknowledgement came after the first attempt, and whether it came.
func (d *deployment) order(method, path string, body []byte, limit time.Duration) (time.Duration, bool) {
	began, refusals, backoff := time.Now(), 0, firstBackoff
	nodes := d.control()
	for time.Since(began) < limit {
		node := nodes[rand.IntN(len(nodes))]
		status, answer := send(node, method, path, body)
		d.printf("operator: %s %s at %s: %d %s", method, path, node, status, firstLine(answer))
		switch {
		case status >= 200 && status < 300:
			return time.Since(began), true
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return 0, false
		case status >= 400 && status < 500 && status != 408 && status != 429:
			if refusals++; refusals == 3 {
				d.printf("operator: the call ends at the third refusal")
				return 0, false
			}
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return 0, false
}

func firstLine(answer []byte) string {
	line, _, _ := strings.Cut(string(answer), "\n")
	return line[:min(len(line), 100)]
}

// service and route are the parts of a desired state.
type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health-check-path"`
	MaxConnections int     `json:"max-connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStart      float64 `json:"cold-start-s"`
	ColdRate       float64 `json:"cold-per-s"`
}

type route struct {
	Name          string `json:"name"`
	Hostname      string `json:"hostname"`
	PathPrefix    string `json:"path-prefix"`
	Type          string `json:"type"`
	Timeout       int    `json:"timeout-ms"`
	TargetLatency int    `json:"target-latency-ms"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max-attempts"`
}

type limits struct {
	MaxHeaderBytes int `json:"max-header-bytes"`
	MaxBodyBytes   int `json:"max-body-bytes"`
	HeaderTimeout  int `json:"header-timeout-ms"`
	IdleTimeout    int `json:"idle-timeout-ms"`
}

type desiredState struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

// newDesiredState returns a desired state with services, and a route for each of the first routed ones.
func newDesiredState(version, routed int, services ...string) []byte {
	state := desiredState{Version: version, Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3000, IdleTimeout: 15000}}
	for i, name := range services {
		state.Services = append(state.Services, service{Name: name, HealthPath: "/health", MaxConnections: 2000, Protocol: "h1", ColdStart: 2})
		if i < routed {
			state.Routes = append(state.Routes, route{
				Name: "r-" + name, Hostname: "127.198.18.1", PathPrefix: []string{"/8080/", "/8443/"}[i], Type: "safe", Timeout: 2000, TargetLatency: 150,
				Priority: 1, Service: name, MaxAttempts: 2,
			})
		}
	}
	body, err := json.Marshal(state)
	if err != nil {
		panic(err) // every desiredState can be encoded
	}
	return body
}

// versionOf returns the version of a desired state that was read, or 0.
func versionOf(answer []byte) int {
	var state desiredState
	if json.Unmarshal(answer, &state) != nil {
		return 0
	}
	return state.Version
}

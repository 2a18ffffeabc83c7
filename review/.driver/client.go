package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step is a step of a job, as a client submits it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMb         int    `json:"memMb,omitempty"`
	EstimateMs    int    `json:"estimateMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MayMiss       int    `json:"mayMiss,omitempty"`
}

// job is a job, as a client submits it.
type job struct {
	ID          string `json:"-"`
	Prefix      string `json:"-"`
	Spec        string `json:"spec"`
	Repetitions int    `json:"repetitions,omitempty"`
	FirstMs     int64  `json:"firstMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
	Steps       []step `json:"steps"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request of a client to an entry process. status is 0 without an answer.
func (s *site) call(ctx context.Context, method string, entry int, path string, body []byte) (status int, answer []byte) {
	p := s.entries[entry%len(s.entries)]
	ctx, cancel := context.WithTimeout(ctx, deadlineMs*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(p.ip, frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.client.Do(request)
	if err != nil {
		s.log.printf("client", "%s %s at %s: no answer: %v", method, path, p.name, err)
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		s.log.printf("client", "%s %s at %s: answer broken off: %v", method, path, p.name, err)
		return 0, nil
	}
	s.log.printf("client", "%s %s at %s: %d %s", method, path, p.name, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, answer
}

// maxTries is the number of attempts of a client: the first and its retries.
const maxTries = 5

// submit hands a job in. Each retry goes to another entry process. It returns whether the job
// was accepted.
func (s *site) submit(ctx context.Context, j job) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	if len(body) < 2000 {
		s.log.printf("client", "body of %s: %s", j.ID, body)
	} else {
		s.log.printf("client", "body of %s has %d bytes: %s ... %s", j.ID, len(body), body[:100], body[len(body)-200:])
	}
	first := rand.IntN(len(s.entries))
	for try := range maxTries {
		status, _ := s.call(ctx, http.MethodPost, first+try, j.Prefix+j.ID, body)
		if status/100 == 2 {
			s.world.accepted(j)
			return true
		}
		if !sleep(ctx, time.Second) {
			return false
		}
	}
	return false
}

// state returns the state of a job that an entry process gives, or "" and the status.
func (s *site) state(ctx context.Context, j job) (string, int) {
	status, answer := s.call(ctx, http.MethodGet, rand.IntN(len(s.entries)), j.Prefix+j.ID, nil)
	var body struct{ State string }
	_ = json.Unmarshal(answer, &body)
	return body.State, status
}

// cancel cancels a job and returns whether that was acknowledged.
func (s *site) cancel(ctx context.Context, j job) bool {
	for try := range maxTries {
		status, _ := s.call(ctx, http.MethodDelete, try, j.Prefix+j.ID, nil)
		if status/100 == 2 || status == http.StatusGone {
			return true
		}
		if !sleep(ctx, 500*time.Millisecond) {
			break
		}
	}
	return false
}

package taskrunner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"time"
)

// null is a field that is there without a value.
var null = json.RawMessage("null")

// foreignFields are what heartbeats of other writers say in place of a runner's; nil omits the
// field. The last one has all fields, but no runner answers to its name.
var foreignFields = []map[string]any{
	{"state": "leaving"}, {"state": nil}, {"state": null}, {"state": 1}, {"service": "other"}, {"service": nil}, {"address": nil}, {"address": "nowhere"},
	{"capacity": nil}, {"capacity": null}, {"capacity": "large"}, {"labels": nil}, {"labels": null}, {"labels": 3},
	{"born": null}, {"born": "now"}, {"seq": nil}, {"seq": "4"}, {"clockMs": null}, {"clockMs": nil}, {"zone": nil}, {"zone": 7},
	{"version": nil}, {"slots": nil}, {"slots": null}, {"coldMs": nil}, {},
}

// SendForeignHeartbeats sends agent heartbeats of other writers, which name other runners at
// address that have started just now. It returns an error if one can't be written; whether the
// agent answers is not checked.
func (r *Runner) SendForeignHeartbeats(address, agent string) error {
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	for i, fields := range foreignFields {
		r.mu.Lock()
		message := r.heartbeat(address, "ready")
		r.mu.Unlock()
		message["born"] = time.Now().UnixMilli()
		maps.Copy(message, fields)
		maps.DeleteFunc(message, func(_ string, value any) bool { return value == nil })
		body, err := json.Marshal(message)
		if err != nil {
			return err
		}
		url := fmt.Sprintf("http://%s/api/instances/foreign-%d/heartbeat", agent, i)
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			response.Body.Close()
		}
	}
	return nil
}

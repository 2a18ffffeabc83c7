// Package deployment generates the input that the platform gives to the processes
// of a deployment: their settings files and the operators' records.
package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"wasabihill.example/wasabihill/internal/standin/metastore"
)

// Ports on which a process listens.
const (
	ClientsPort    = 8161
	ReadinessPort  = 8167
	HeartbeatsPort = 8166
	SessionPort    = 7720
)

// SettingsVariable is the environment variable that contains the path of the
// settings file. ReadinessPath is the path of the platform's readiness probe on
// ReadinessPort.
const (
	SettingsVariable = "WASABIHILL_SETTINGS"
	ReadinessPath    = "/api/readiness"
)

// Process contains the settings of one process.
type Process struct {
	Name          string
	IP            string
	Domain        string
	StoreAddress  string
	RunnerAddress string // empty for an entry process
	Service       string
	MemoryMb      int
	FirstStart    bool // first start of the system
}

func (p Process) address(port int) string { return net.JoinHostPort(p.IP, strconv.Itoa(port)) }

// Settings returns the text of the settings file.
func (p Process) Settings() string {
	return fmt.Sprintf(`node = %q
ip = %q
zone = %q
internalPorts = [%d,%d]
bootstrap = %t
app = %q
service = %q
[listenAddrs]
front = %q
ready = %q
control = %q
[limits]
memoryMb = %d
[bounds]
graceS = 6
holdMaxMs = 10000
stopMs = 200
status_s = 120
[platform]
address = %q
`, p.Name, p.IP, p.Domain, SessionPort, SessionPort, p.FirstStart, p.RunnerAddress, p.Service,
		p.address(ClientsPort), p.address(ReadinessPort), p.address(HeartbeatsPort), p.MemoryMb, p.StoreAddress)
}

// Route is the route of one queue in the configuration.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Priority    int
	MaxAttempts int
}

// Operator writes the operators' records to the store.
type Operator struct{ Store *metastore.Log }

const operatorTopic = "keyed.op"

// Configure writes the record of a version of the configuration.
func (o Operator) Configure(version int, service string, routes []Route) error {
	list := make([]map[string]any, len(routes))
	for i, r := range routes {
		list[i] = map[string]any{
			"name": r.Name, "host": r.Host, "pathPrefix": r.Prefix, "type": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": r.Priority, "service": service, "maxAttempts": r.MaxAttempts, "stretch": 2.0,
		}
	}
	record, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service, "rejectsOverload": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
	if err != nil {
		return err
	}
	o.Store.Put(operatorTopic, "config", record)
	return nil
}

// Evacuate takes a failure domain out of service, or puts it back into service.
func (o Operator) Evacuate(domain string, out bool) {
	var record []byte
	if out {
		record = []byte("{}")
	}
	o.Store.Put(operatorTopic, "evacuate/"+domain, record)
}

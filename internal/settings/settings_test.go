package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

const entrySample = `{
  // first entry process
  "id": "entry-1", "environment": "production", "failureDomain": "pwani-a", "region": "pwani",
  "callerAddress": "127.0.0.1:7001", "adminAddress": "127.0.0.1:7002", "linkAddress": "127.0.0.1:7003",
  "logAddress": "127.0.0.1:7000",
  "operatorToken": {"environmentVariable": "OPERATOR_TOKEN"},
  "teamTokens": {"moulds": "moulds-token-0123456789"},
  "limits": {"adminTimeout": "5s"},
  "distances": {"pwani-b": "4ms"},
}`

const agentSample = `{"worker": "worker-1", "environment": "production", "failureDomain": "pwani-a", "rack": "r1", "region": "pwani",
  "linkAddress": "127.0.0.1:7011", "announceAddress": "127.0.0.1:7012", "workerAddress": "127.0.0.1:7010",
  "entries": ["127.0.0.1:7003"]}`

const operatorToken = "operator-token-0123456789"

func lookup(name string) (string, bool) {
	return operatorToken, name == "OPERATOR_TOKEN"
}

// Guards against defaults that overwrite settings, and against a token that is disclosed
// when settings are printed or encoded.
func TestEntry(t *testing.T) {
	e, err := ParseEntry("entry.json", []byte(entrySample), lookup)
	if err != nil {
		t.Fatal(err)
	}
	if e.Limits.AdminTimeout != 5*time.Second || e.Limits.CallerTimeout != time.Minute || e.AdvertisedLinkAddress != e.LinkAddress {
		t.Errorf("got %+v, want adminTimeout 5s and defaults elsewhere", e.Limits)
	}
	encoded, _ := json.Marshal(e)
	for _, text := range []string{fmt.Sprintf("%v %+v %#v %s %q %x", e, e, e, e.OperatorToken, e.OperatorToken, e.OperatorToken), string(encoded)} {
		if strings.Contains(text, "operator-token") || strings.Contains(text, "moulds-token") {
			t.Errorf("a token is printed: %s", text)
		}
	}
	if e.OperatorToken.Reveal() != operatorToken {
		t.Error("got another operator token than the environment variable holds")
	}
}

// Guards against invalid settings that are accepted and make the process fail after its
// start, and against messages that disclose a token.
func TestProblems(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"127.0.0.1:7000"`, `"localhost:7000"`, `entry.json:5:17: logAddress: address "localhost:7000": want an IP address and port by number`},
		{`"127.0.0.1:7000"`, `"0.0.0.0:7000"`, "logAddress: address"},
		{`"127.0.0.1:7003"`, `"0.0.0.0:7003"`, "advertisedLinkAddress: missing; agents cannot dial"},
		{`"127.0.0.1:7003"`, `"127.0.0.1:7002"`, "linkAddress: address 127.0.0.1:7002 is also adminAddress"},
		{`OPERATOR_TOKEN`, `OTHER`, "entry.json:6:20: operatorToken: environment variable OTHER is not set"},
		{`moulds-token-0123456789`, `short-secret`, "teamTokens.moulds: want a token of 16 to 1024"},
		{`moulds-token-0123456789`, operatorToken, "teamTokens.moulds: the token is also used elsewhere"},
		{`"5s"`, `"0s"`, "limits.adminTimeout: duration"},
		{`"adminTimeout"`, `"adminTimeOut"`, "limits.adminTimeOut: unknown key; allowed here: callerRequests"},
		{`"4ms"`, `4`, "distances.pwani-b: got a number; want a string"},
		{`"id": "entry-1"`, `"id": "entry 1"`, "entry.json:3:9: id: name"},
	} {
		_, err := ParseEntry("entry.json", []byte(strings.Replace(entrySample, c.old, c.new, 1)), lookup)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got %v, want an error with %q", err, c.want)
			continue
		}
		if strings.Contains(err.Error(), "short-secret") || strings.Contains(err.Error(), operatorToken) {
			t.Errorf("the error reveals a token: %v", err)
		}
	}
	if _, err := ParseAgent("agent.json", []byte(agentSample), nil); err != nil {
		t.Error(err)
	}
	wrong := strings.NewReplacer(`["127.0.0.1:7003"]`, `[]`, `"r1"`, `7`).Replace(agentSample)
	if _, err := ParseAgent("agent.json", []byte(wrong), nil); len(Problems(err)) != 2 {
		t.Errorf("got %v, want two problems", err)
	}
}

// Guards against a settings file that makes the parser panic, and against error messages
// that disclose a token.
func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(entrySample))
	f.Add([]byte(agentSample))
	f.Add([]byte(entrySample[:200]))
	f.Add([]byte(strings.Replace(entrySample, `"127.0.0.1:7001"`, `"[fe80::1%eth0]:0"`, 1)))
	f.Add([]byte(strings.Replace(entrySample, `{"environmentVariable": "OPERATOR_TOKEN"}`, `{}`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, entryErr := ParseEntry("fuzz", text, lookup)
		_, agentErr := ParseAgent("fuzz", text, lookup)
		for _, err := range []error{entryErr, agentErr} {
			if err != nil && strings.Contains(err.Error(), operatorToken) {
				t.Errorf("the error reveals a token: %v", err)
			}
		}
	})
}

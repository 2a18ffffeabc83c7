package soak

import (
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
)

// silencePrefix begins the names of the kinds of faults after which open connections are silent.
const silencePrefix = "silent"

// silenceFaultKinds let open connections fall silent for good, without a reset, while new ones work.
var silenceFaultKinds = []faultKind{
	{silencePrefix + "RunnerConnections", agents, false, false, time.Millisecond, silenceLinks(runnerLink), nil},
	{silencePrefix + "StoreConnections", anyHost, false, false, time.Millisecond, silenceLinks(storeLink), nil},
	{silencePrefix + "Sessions", anyHost, false, false, time.Millisecond, silenceLinks(sessionLink), nil},
	{silencePrefix + "Host", anyHost, false, false, time.Millisecond, silenceLinks(storeLink, sessionLink, runnerLink, agentLink), nil},
	{silencePrefix + "Runners", allHosts, false, false, time.Millisecond, silenceLinks(runnerLink), nil},
	{silencePrefix + "Store", allHosts, false, false, time.Millisecond, silenceLinks(storeLink), nil},
	{silencePrefix + "Everything", allHosts, false, false, time.Millisecond, silenceLinks(storeLink, sessionLink, runnerLink, agentLink), nil},
}

func agentLink(h *host) *relay.Relay { return h.toAgent }

func silenceLinks(links ...linkSelector) func(*Run, *host) {
	return func(_ *Run, h *host) {
		for _, link := range links {
			if r := link(h); r != nil {
				r.SilenceConnections()
			}
		}
	}
}

// silenceMargin is how long after a silence the end of a run may follow from it.
const silenceMargin = 9 * time.Second

// checkSilences finds runs that ended with their lease although nothing had happened for long but
// that open connections fell silent, once: new connections renew the lease in time.
func (o *observations) checkSilences(report violationReporter) {
	for _, x := range o.runs {
		if x.End != "lapsed" {
			continue
		}
		if f, only := o.onlySilence(x.EndTime); only {
			report(x.EndTime, jobID(x.Task), "%s on %s ended with its lease %v after %s", x.Task, x.Runner, x.EndTime.Sub(f.Began).Round(time.Millisecond), f.Kind)
		}
	}
}

// onlySilence returns the fault within silenceMargin before the given time, if there was one alone
// and it is a silence.
func (o *observations) onlySilence(at time.Time) (silence injectedFault, only bool) {
	count := 0
	for _, f := range o.faults {
		if f.Began.Before(at) && (f.Ended.IsZero() || f.Ended.After(at.Add(-silenceMargin))) {
			silence = f
			count++
		}
	}
	return silence, count == 1 && strings.HasPrefix(silence.Kind, silencePrefix)
}

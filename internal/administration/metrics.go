// Metrics of a process, for Prometheus to scrape.

package administration

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"
)

// reportInterval is how old a value on /metrics can be.
const reportInterval = time.Second

// sanitize keeps '-' and '.' in tag values, which occur in names of processes.
var sanitize = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'-', '_', '.'}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// NewMetrics returns the scope of a process, the handler for GET /metrics and
// the scope's closer. Every metric is prefixed with "wasabihill_" and tagged
// with the process.
func NewMetrics(process string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType, // summaries of several processes cannot be added up
		OnRegisterError: func(err error) {
			klog.ErrorS(err, "metric is not registered")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "wasabihill",
		Tags:            map[string]string{"process": process},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitize,

		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// Metrics of a process in the format of Prometheus.

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

// reportInterval is the maximum age of a value on /metrics.
const reportInterval = time.Second

// sanitize keeps '-' and '.' in tag values, because process names contain them.
var sanitize = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'-', '_', '.'}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// NewMetrics returns the root scope of a process, the handler for GET /metrics and the
// closer of the scope. Every metric has the prefix "wasabihill_" and the tag process.
func NewMetrics(process string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType, // unlike histograms, summaries of several processes can't be aggregated
		OnRegisterError: func(err error) {
			klog.ErrorS(err, "cannot register metric; it will not be reported")
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

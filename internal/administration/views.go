// Read-only views for operators. A team can list only itself.

package administration

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/administration"
)

func listWorkers(r *request) (any, error) {
	list, err := r.config.Backend.Workers(r.http.Context())
	return orEmpty(list), err
}

func listEntries(r *request) (any, error) {
	list, err := r.config.Backend.Entries(r.http.Context())
	return orEmpty(list), err
}

func listTeams(r *request) (any, error) {
	all, err := r.config.Backend.Teams(r.http.Context())
	visible := []administration.Team{}
	for _, t := range all {
		if r.principal.mayAccess(t.Name) {
			visible = append(visible, t)
		}
	}
	return visible, err
}

// timelineFormats maps the format in the query to a content type and a renderer.
var timelineFormats = map[string]struct {
	contentType string
	render      func(io.Writer, []timeline.Event) error
}{
	"":     {"application/json", timeline.WriteJSON},
	"json": {"application/json", timeline.WriteJSON},
	"text": {"text/plain; charset=utf-8", timeline.WriteText},
	"html": {"text/html; charset=utf-8", timeline.WriteHTML},
}

func showTimeline(r *request) (any, error) {
	limit, err := r.limitParameter(500, 10_000)
	if err != nil {
		return nil, err
	}
	query := r.http.URL.Query()
	format, ok := timelineFormats[query.Get("format")]
	if !ok {
		return nil, administration.Errorf(administration.KindInvalid, "query format: got %q; want text, json or html", query.Get("format"))
	}
	lane, subject := query.Get("lane"), query.Get("subject")
	events, err := r.config.Backend.Events(r.http.Context(), func(e timeline.Event) bool {
		return (lane == "" || e.Lane == lane) && strings.Contains(e.Subject, subject)
	}, limit)
	if err != nil {
		return nil, err
	}
	var body bytes.Buffer
	if err := format.render(&body, events); err != nil {
		return nil, err
	}
	return renderedTimeline{format.contentType, body.Bytes()}, nil
}

// renderedTimeline is a timeline in one of the formats.
type renderedTimeline struct {
	contentType string
	body        []byte
}

func (d renderedTimeline) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", d.contentType)
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(d.body)
}

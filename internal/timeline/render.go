// Renderings of events for terminals, programs and browsers.

package timeline

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText renders events as text, one per line, with their lanes and causes.
func WriteText(w io.Writer, events []Event) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tEVENT\tLANE\tKIND\tSUBJECT\tTEXT\tCAUSE")
	for _, e := range events {
		cause := ""
		if e.Cause != "" {
			cause = "<- " + e.Cause
		}
		cells := []string{e.Clock.Time().Format("15:04:05.000"), e.ID(), e.Lane, e.Kind, e.Subject, e.Text, cause}
		for i := range cells {
			cells[i] = sanitize(cells[i])
		}
		fmt.Fprintln(table, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	return table.Flush()
}

// WriteJSON renders events as an indented JSON array.
func WriteJSON(w io.Writer, events []Event) error {
	if events == nil {
		events = []Event{}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(events)
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Dimensions of the diagram in pixels.
const (
	labelWidth = 140
	eventWidth = 26
	laneHeight = 44
	topMargin  = 24
)

type diagramLane struct {
	Name  string
	Y     int
	TextY int
}

type diagramEvent struct {
	Event
	Time   string
	X, Y   int
	Colour string
}

type diagramArrow struct{ X1, Y1, X2, Y2 int }

type diagram struct {
	Width, Height int
	LabelWidth    int
	Lanes         []diagramLane
	Events        []diagramEvent
	Arrows        []diagramArrow
}

var laneColours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b"}

// WriteHTML renders events as an HTML page without external resources: a diagram
// with a row for each lane and arrows from causes to effects, and a table.
func WriteHTML(w io.Writer, events []Event) error { return pageTemplate.Execute(w, newDiagram(events)) }

func newDiagram(events []Event) diagram {
	p := diagram{Width: labelWidth + eventWidth*(len(events)+1), LabelWidth: labelWidth}
	lanes := map[string]int{}
	positions := map[string]int{}
	for i, e := range events {
		e = e.truncated()
		lane, ok := lanes[e.Lane]
		if !ok {
			lane = len(lanes)
			lanes[e.Lane] = lane
			y := topMargin + lane*laneHeight
			p.Lanes = append(p.Lanes, diagramLane{e.Lane, y, y + 4})
		}
		positions[e.ID()] = i
		p.Events = append(p.Events, diagramEvent{e, e.Clock.Time().Format("15:04:05.000"),
			labelWidth + eventWidth*(i+1) - eventWidth/2, p.Lanes[lane].Y, laneColours[lane%len(laneColours)]})
	}
	for _, e := range p.Events {
		if i, ok := positions[e.Cause]; ok && e.Cause != e.ID() {
			cause := p.Events[i]
			p.Arrows = append(p.Arrows, diagramArrow{cause.X, cause.Y, e.X, e.Y})
		}
	}
	p.Height = topMargin + max(1, len(p.Lanes))*laneHeight
	return p
}

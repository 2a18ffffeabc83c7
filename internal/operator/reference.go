// The reference page is generated from the program's own tables and help, so that
// it matches the program.

package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	api "wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
)

const referenceIntroduction = `# Configuration

This page is generated from the field tables and the help of the program; a test
fails when they differ. To regenerate it:

    go test ./cmd/wasabihill -update

All files are JSON with comments and trailing commas. Names are 1 to 128 letters,
digits, '-', '_' or '.', starting with a letter or digit. A key that is not
listed here, a duplicate key and a value of another type are errors, and every
error of a file is listed at once with its line and column.
`

// referenceSections lists the kinds of files that the reference page describes.
var referenceSections = []struct {
	title, text string
	rows        func() []strictjson.Row
}{
	{"Document of an environment", "Published with `wasabihill publish`; takes effect everywhere within 3 s.", environment.Reference},
	{"Job", "Submitted with `wasabihill submit`.", administration.SubmissionReference},
	{"Settings of an entry process", "Addresses have the form IP:port; host names are not accepted. A token is 16 to 1024 printable ASCII characters.", settings.EntryReference},
	{"Settings of an agent", "Addresses have the form IP:port; host names are not accepted.", settings.AgentReference},
}

// WriteReference writes the text of docs/configuration.md to w. extra holds the
// commands that the program has besides the verbs.
func WriteReference(w io.Writer, extra ...*cli.Command) error {
	var page bytes.Buffer
	page.WriteString(referenceIntroduction)
	for _, s := range referenceSections {
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n| field | type | required | meaning |\n|---|---|---|---|\n", s.title, s.text)
		for _, r := range s.rows() {
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", r.Field, escapeCell(r.Type), r.Required, escapeCell(r.Purpose))
		}
	}
	writeAPI(&page)
	page.WriteString("\n## Command line\n")
	if err := writeHelp(&page, extra); err != nil {
		return err
	}
	_, err := w.Write(page.Bytes())
	return err
}

const apiIntroduction = `
## Administration API

HTTP on adminAddress of an entry process, with "Authorization: Bearer TOKEN". A
mutation needs the header Idempotency-Key, 1 to 128 printable ASCII characters; a
repeated request with the same key has no second effect. GET /healthz, /readyz
and /metrics need no token. A request body has at most 64 KiB, or at most
limits.adminBody if it is a document.
`

const errorIntroduction = `
An error is {"error": {"kind", "message", "details"}}. Details may hold problems
(file, line, column, field, message), winner (the version that was published
first) and outcome: notRun means that the request had no effect; after unknown,
repeat the request with the same key.
`

func writeAPI(page *bytes.Buffer) {
	page.WriteString(apiIntroduction + "\n| operation | who | query | meaning |\n|---|---|---|---|\n")
	for _, r := range api.Reference() {
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n", r.Pattern, r.Who, r.Query, escapeCell(r.Purpose))
	}
	page.WriteString(errorIntroduction + "\n| kind | status |\n|---|---|\n")
	for _, k := range administration.Kinds() {
		fmt.Fprintf(page, "| `%s` | %d |\n", k, k.Status())
	}
}

// escapeCell escapes s for a cell of a Markdown table.
func escapeCell(s string) string { return strings.ReplaceAll(s, "|", "\\|") }

// writeHelp writes the help of the program and of every verb.
func writeHelp(page *bytes.Buffer, extra []*cli.Command) error {
	paths := [][]string{{}}
	for _, cmd := range Root(extra...).Commands {
		paths = append(paths, []string{cmd.Name})
	}
	for _, path := range paths {
		root := Root(extra...)
		root.Version = "" // differs between builds
		root.HideVersion = true
		var help bytes.Buffer
		root.Writer, root.ErrWriter = &help, &help
		if err := root.Run(context.Background(), append(append([]string{"wasabihill"}, path...), "--help")); err != nil {
			return err
		}
		title := strings.Join(append([]string{"wasabihill"}, path...), " ")
		text, _, _ := strings.Cut(help.String(), "\nGLOBAL OPTIONS:")
		if len(path) == 0 {
			text = help.String()
		}
		fmt.Fprintf(page, "\n### %s\n\n```\n%s\n```\n", title, strings.TrimSpace(text))
	}
	return nil
}

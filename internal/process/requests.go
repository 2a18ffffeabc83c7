package process

import (
	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/settings"
)

func requests(*settings.Entry, tally.Scope) func(*entry.Entry) entry.Requests { return nil }

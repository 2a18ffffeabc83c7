GO ?= go
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X wasabihill.example/wasabihill/internal/operator.Version=$(VERSION)
# Number of generated histories for each seed, and number of seeds, of
# `make histories`.
HISTORY_CHECKS ?= 400
HISTORY_SEEDS ?= 5
# Number of random seeds of `make soak`, number of concurrent runs, and the file of
# its report.
SOAK_SEEDS ?= 50
SOAK_PARALLEL ?= 3
SOAK_REPORT ?= soak.html
# Packages with property-based tests on generated histories.
GENERATED := ./internal/agent ./internal/configuration ./internal/forward ./internal/ledger \
	./internal/roster ./internal/routing ./internal/stream ./internal/timeline ./pkg/environment

# Number of executions of each fuzz target of `make fuzz`; a duration such as 60s is also valid.
FUZZ_TIME ?= 5000x

# Length of the schedules of `make model`, and calls of the leader in them.
MODEL_TICKS ?= 10
MODEL_CALLS ?= 5

.PHONY: build test red lint run bench soak histories fuzz model generate

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

# Tests that KNOWN-RED.txt lists as red, in lines that begin with "- red test: NAME". They are
# passed over by `make test`; `make red` runs them alone.
KNOWN_RED := $(shell sed -n 's/^- red test: \(Test[A-Za-z0-9]*\) .*/\1/p' KNOWN-RED.txt | paste -sd '|' -)

# -p 2 limits the number of packages tested at a time, because some tests start many
# processes, which would otherwise starve each other.
test:
	@echo "passed over as known to be red: $(or $(KNOWN_RED),none)"
	$(GO) test -race -p 2 -timeout 30m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

red:
	$(GO) test -count=1 -run '^($(KNOWN_RED))$$' ./internal/... ./platform

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "gofmt differs:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

run: build
	./scripts/run.sh

# Compares the dispatch policies with a naive dispatcher and the request path with
# direct calls, shows which targets are met, and writes docs/measurements.md.
bench: build
	bin/wasabihill-bench -write docs/measurements.md
	@{ echo; echo "Request path, GOMAXPROCS of the machine:"; echo; echo '```'; \
	$(GO) test -run XXX -bench 'AddedLatency|Overload' -benchtime 1x ./internal/gateway; echo '```'; } | tee -a docs/measurements.md

# Runs real processes, injects faults into them from outside, and checks meanwhile
# that the guarantees of the scheduler hold.
soak: build
	bin/wasabihill-soak --seeds $(SOAK_SEEDS) --parallel $(SOAK_PARALLEL) --report $(SOAK_REPORT)

# Runs the property-based tests with more histories; prints each seed before its run,
# so that a failure can be reproduced.
histories:
	@for n in $$(seq 1 $(HISTORY_SEEDS)); do \
		seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); echo "seed $$seed"; \
		$(GO) test -count=1 $(GENERATED) -rapid.seed=$$seed -rapid.checks=$(HISTORY_CHECKS) || exit 1; \
	done

# Runs each fuzz target of the decoders of outside data.
fuzz:
	@for package in ./platform ./internal/node ./internal/leadership ./internal/scheduler; do \
		for target in $$($(GO) test -list '^Fuzz' $$package | grep '^Fuzz'); do \
			echo "$$package $$target"; \
			$(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZ_TIME) -fuzzminimizetime 1x $$package || exit 1; \
		done; \
	done

# Checks the renewals of the leadership by exhaustion, deeper than `make test` does.
model:
	$(GO) test -count=1 -timeout 30m -v -run TestModel ./internal/leadership -args -model.ticks=$(MODEL_TICKS) -model.calls=$(MODEL_CALLS)

generate:
	$(GO) generate ./...

GO ?= go
ROUNDS ?= 2000

.PHONY: build demo test lint prove measure capacity mutate tools

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/demo

lint:
	@out=$$(gofmt -l .); test -z "$$out" || { echo "gofmt would change: $$out"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# SKIP names tests that are passed over; CI sets it to what KNOWN-RED.txt lists.
# The crowds, which measure the memory and the descriptors of processes, run after the other tests and one at a time.
test: build lint
	$(GO) test -race -count=1 -skip '^TestCrowd$(if $(SKIP),|$(SKIP))' ./...
	$(GO) test -race -count=1 -p 1 -run '^TestCrowd' $(if $(SKIP),-skip '$(SKIP)') ./platform/ccsoak ./io/ccharness

# One line for each promise; ROUNDS is the number of random interleavings of each randomised proof.
prove:
	$(GO) run ./cmd/prove --rounds $(ROUNDS)

# One row for each figure, beside its baseline; writes docs/MEASUREMENTS.md and its plots.
measure: build
	bin/measure --report docs

# The table of docs/CAPACITY.md, from the slopes that it measures.
capacity: build
	bin/measure --capacity

mutate:
	_scripts/mutate.sh

# gopls renames identifiers; v0.23.0 is the newest release that builds with Go 1.26.
tools:
	$(GO) install golang.org/x/tools/gopls@v0.23.0

GO ?= go

.PHONY: build demo test lint

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/demo

lint:
	@out=$$(gofmt -l .); test -z "$$out" || { echo "gofmt would change: $$out"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: build lint
	$(GO) test -race -count=1 ./...

export GOFLAGS := -buildvcs=false
GO ?= go

.PHONY: build test demo measure capacity overhead soak generate fmt lint ci

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -race -timeout 20m ./...

measure:
	$(GO) run ./cmd/measure

demo: build
	bin/demo

overhead: build
	bin/overhead

generate:
	@if [ -d proto ]; then PATH="$$(.ci/tools):$$PATH" buf generate; fi
	@cd daemon && PATH="$$(../.ci/tools):$$PATH" wire gen . 2>&1 | grep -v wrote || true

fmt:
	PATH="$$(.ci/tools):$$PATH" golangci-lint fmt

lint:
	PATH="$$(.ci/tools):$$PATH" golangci-lint run ./...

capacity:
	$(GO) run ./cmd/capacity

ci:
	.ci/run

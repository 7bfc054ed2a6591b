# Targets that developers and CI run. `make check` is what CI runs.
GO ?= go
PKGS = ./...

.PHONY: all build fmt fmtcheck vet lint test check demo bench capacity fuzz generate

all: build

build:
	$(GO) build -o bin/mangoweir ./cmd/mangoweir

fmt:
	gofmt -w $$(git ls-files '*.go')

fmtcheck:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet $(PKGS)

lint:
	$(GO) tool staticcheck $(PKGS)

test:
	$(GO) test -race -count=1 -timeout 20m $(PKGS)

check: fmtcheck vet lint test

# Prints the figures of docs/design.md 1.5; ends by itself within 10 minutes.
bench:
	$(GO) run ./cmd/bench

# Needs protoc; the plugin is built from the version in go.mod.
generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative internal/wire/wirepb/wire.proto

# FUZZTIME bounds each fuzz target.
FUZZTIME ?= 30s
fuzz:
	$(GO) test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/wire

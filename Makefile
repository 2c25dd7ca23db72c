# Build and test targets; README.md explains them.
.PHONY: build check lint staticcheck errcheck revive imports generate

# Runs a tool in the version that tools/go.mod pins.
tool = go tool -modfile=tools/go.mod

# Packages and files written by hand: all but what flatc generates.
packages = $$(go list ./... | grep -v '/internal/peer/fb$$')
files = $$(find cmd internal wire -name '*.go' -not -path 'internal/peer/fb/*')

build:
	go build -ldflags=-linkmode=external -o target/wheatspur ./cmd/wheatspur

check:
	@unformatted=$$(gofmt -l cmd internal wire) || exit 1; if [ -n "$$unformatted" ]; then echo "not gofmt'ed: $$unformatted"; exit 1; fi
	go vet ./...
	$(MAKE) lint
	go run ./internal/testrunner -race -count=1 ./...

lint: staticcheck errcheck revive imports

# With the checks of staticcheck.conf.
staticcheck:
	$(tool) staticcheck ./...

# No call's error is dropped without an explicit `_ =`.
errcheck:
	$(tool) errcheck $(packages)

# Names, doc comments and idiom, with the rules of revive.toml.
revive:
	$(tool) revive -config revive.toml -formatter unix -set_exit_status $(packages)

# Imports in three groups: standard library, other modules, this one.
imports:
	@unordered=$$($(tool) gci list --custom-order -s standard -s default -s 'prefix(wheatspur)' $(files)) || exit 1; \
	if [ -n "$$unordered" ]; then echo "imports not in order: $$unordered"; exit 1; fi

# Needs flatc (Debian package flatbuffers-compiler).
generate:
	go generate ./internal/peer

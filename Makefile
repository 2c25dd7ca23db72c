# Build and test targets; README.md explains them.
.PHONY: build check lint generate

build:
	go build -ldflags=-linkmode=external -o target/wheatspur ./cmd/wheatspur

check:
	@unformatted=$$(gofmt -l cmd internal wire) || exit 1; if [ -n "$$unformatted" ]; then echo "not gofmt'ed: $$unformatted"; exit 1; fi
	go vet ./...
	$(MAKE) lint
	go run ./internal/testrunner -race -count=1 ./...

# staticcheck, in the version of tools/go.mod and with the checks of
# staticcheck.conf.
lint:
	go tool -modfile=tools/go.mod staticcheck ./...

# Needs flatc (Debian package flatbuffers-compiler).
generate:
	go generate ./internal/peer

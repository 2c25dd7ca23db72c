# Build and test targets; README.md explains them.
.PHONY: build check generate

build:
	go build -ldflags=-linkmode=external -o target/wheatspur ./cmd/wheatspur

check:
	@unformatted=$$(gofmt -l cmd internal wire); if [ -n "$$unformatted" ]; then echo "not gofmt'ed: $$unformatted"; exit 1; fi
	go vet ./...
	go run ./internal/testrun -race ./...

# Needs flatc (Debian package flatbuffers-compiler).
generate:
	go generate ./internal/peer

MODULES := core fakebackend fakeplatform goldcreststand goldctl goldload lib platform schema
PATTERNS := $(MODULES:%=./%/...)
PROGRAMS := fakebackend fakeplatform goldcreststand goldctl goldload
# The linter has no tool block: its whole module graph does not resolve.
LINTER := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# The language server renames identifiers; it has no tool block so that its module graph stays out of tools/go.mod.
LANGSERVER := golang.org/x/tools/gopls@v0.23.0

# Tests of faults that are not mended yet, as listed in KNOWN-RED.txt; .ci/run prints them.
KNOWN_RED := $(shell sed -n 's/^[a-z0-9]*\.\(Test[^ ]*\), issue.*passed over by CI$$/\1/p' KNOWN-RED.txt | sed 's,/,$$/^,; s,.*,^&$$,' | paste -sd'|')

# Cases of each property test, and the seed, of make fuzz.
CHECKS := 5000
SEED := $(shell date +%s)

.PHONY: build check demo docs faults format fuzz generate lint test tidy tools

build:
	go build -o bin/ $(PROGRAMS:%=./%)

tools:
	GOWORK=off go build -C tools -o ../bin/ tool
	GOWORK=off GOBIN=$(CURDIR)/bin go install $(LINTER)
	GOWORK=off GOBIN=$(CURDIR)/bin go install $(LANGSERVER)

generate:
	for m in $(MODULES); do (cd $$m && PATH="$(CURDIR)/bin:$$PATH" go generate ./...) || exit 1; done

demo: build
	demo/run.sh

faults: build
	demo/faults.sh

format:
	bin/gofumpt -w $(MODULES)

lint:
	test -z "$$(bin/gofumpt -l $(MODULES) | tee /dev/stderr)"
	bin/golangci-lint run $(PATTERNS)

test:
	go test -race $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(PATTERNS)

fuzz:
	for p in $$(grep -rl pgregory.net/rapid --include='*_test.go' core goldcreststand lib | xargs -n 1 dirname | sort -u); do \
		go test ./$$p -rapid.checks=$(CHECKS) -rapid.seed=$(SEED) || exit 1; done

# Checks that each test which a page names exists.
docs:
	@for t in $$(grep -rhoE '\b(Test|Benchmark|Fuzz)[A-Z][A-Za-z]+' docs README.md | sort -u); do \
		grep -rqE "func $$t\(" --include='*_test.go' $(MODULES) || { echo "docs name $$t, which does not exist"; exit 1; }; done

check: lint docs
	$(MAKE) generate
	git diff --exit-code -- '*_gen.go' '*_enumer.go'
	go vet $(PATTERNS)
	$(MAKE) build test

tidy:
	for m in $(MODULES); do (cd $$m && go mod tidy) || exit 1; done

.DEFAULT_GOAL := build

BUILD := build
LINTER := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
FORMATTER := mvdan.cc/gofumpt@v0.12.0
FUZZTIME ?= 10m
SEEDS ?= 3

.PHONY: build
build: ## Build both programs into build/.
	go build -o $(BUILD)/cranberrymill .
	go build -o $(BUILD)/standin ./cmd/standin

.PHONY: test
test: build ## Run every test with fixed seeds except those that KNOWN-RED.txt lists.
	./scripts/test.sh

.PHONY: fuzz
fuzz: ## Run the state machine tests with fresh seeds for FUZZTIME.
	./scripts/fuzz.sh $(FUZZTIME)

.PHONY: soak
soak: ## Disturb real processes under load, look for jobs that stand still, are shown wrongly or exceed limits, with SEEDS fresh seeds.
	MILL_SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 3h -v -run 'TestSoakStandstill|TestSoakGangsUnderFaults|TestSoakTenantsOfSeeds' ./platform/soak

.PHONY: upgrades
upgrades: ## Play processes of an earlier build beside those of this one and before them, with SEEDS fresh seeds; OLD is its program.
	MILL_SOAK_OLD=$(OLD) MILL_SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 3h -v -run 'TestSoakTwoBuilds|TestSoakUpgrade' ./platform/soak

.PHONY: lint
lint: $(BUILD)/golangci-lint $(BUILD)/gofumpt ## Check the formatting and run the linter.
	test -z "$$($(BUILD)/gofumpt -l . | tee -a /dev/stderr)"
	$(BUILD)/golangci-lint run

.PHONY: demo
demo: build ## Run a deployment on loopback with load and faults; DEPLOYMENT=zilina or kalpitiya.
	./scripts/demo.sh

.PHONY: bench
bench: ## Run the benchmarks and write their output to build/bench.txt.
	mkdir -p $(BUILD)
	go test -run '^$$' -bench . -benchtime 2s ./... | tee $(BUILD)/bench.txt

.PHONY: clean
clean: ## Remove the build folder.
	rm -rf $(BUILD)

.PHONY: help
help: ## List the targets.
	@grep -E '^[a-z]+:.*##' GNUmakefile | sed 's/:.*## /	/'

$(BUILD)/golangci-lint: GNUmakefile
	GOBIN=$(abspath $(BUILD)) go install $(LINTER)

$(BUILD)/gofumpt: GNUmakefile
	GOBIN=$(abspath $(BUILD)) go install $(FORMATTER)

# Targets for developers. `make run` and `make test` work on a fresh Debian machine as root.

BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?= 1
COUNT ?= 5

.PHONY: deps build test lint format bench run soak golden sanitize clean

deps:
	@./tools/install-packages

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure

lint: build
	@./tools/lint $(BUILD)

format: deps
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

sanitize: deps
	@./tools/sanitize

run: build
	@./tools/run-site $(BUILD)

soak: build
	@./$(BUILD)/packages/soak/oriolespread-soak --programs $(BUILD)/packages/apps --seed $(SEED) --count $(COUNT)

bench: build
	@./$(BUILD)/packages/bench/oriolespread-bench --seed $(SEED)

golden: build
	@ORIOLESPREAD_GOLDEN=write ./$(BUILD)/packages/scenarios/scenarios_tests >/dev/null
	@git diff --stat -- packages/scenarios/golden

clean:
	@rm -rf $(BUILD) build-asan build-tsan

# Each target does all the set-up on a fresh Debian 12.
BUILD_DIR ?= build

.PHONY: demo test build packages format lint bench

packages:
	scripts/install-packages.sh

build: packages
	cmake -S . -B $(BUILD_DIR) -G Ninja
	cmake --build $(BUILD_DIR)

# The whole path on loopback with stand-ins; ends by itself with exit 0.
demo: build
	BUILD_DIR=$(BUILD_DIR) scripts/demo.sh

test: build
	scripts/test.sh $(BUILD_DIR)

bench: build
	BUILD_DIR=$(BUILD_DIR) scripts/bench.sh

format:
	git ls-files -co --exclude-standard '*.hpp' '*.cpp' | xargs clang-format -i

lint: build
	scripts/lint.sh $(BUILD_DIR)

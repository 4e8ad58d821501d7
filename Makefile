# make demo   installs the packages, builds, and serves two requests through the whole path
# make test   builds and runs every test
# make check  formatter and linter
# make soak SEED=... MINUTES=...  randomised run over real processes
# make fuzz TARGET=... SECONDS=...  fuzzes one target, or all one after the other (docs/development.md)
# make gateway-soak SEED=... SEEDS=...  randomised runs over gateway processes, 12 s of faults each
BUILD ?= build
JOBS ?= 10

.PHONY: all packages configure build test check format demo soak gateway-soak fuzz fuzz-build

all: build

packages:
	@scripts/install_packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build fuzz-build
	@scripts/run_tests.sh $(BUILD)

format: packages
	@scripts/format.sh --fix

check: configure
	@scripts/format.sh
	@scripts/check_platform_names.sh
	@BUILD=$(BUILD) scripts/lint.py

demo: build
	@scripts/demo.sh $(BUILD)

SEED ?= 1
MINUTES ?= 1
SEEDS ?= 10
soak: build
	@$(BUILD)/hyssoprail-load soak --binaries=$(BUILD) --seed=$(SEED) --seconds=$$(( $(MINUTES) * 60 )) --rate=20

gateway-soak: build
	@$(BUILD)/hyssoprail-gateway-soak --gateway=$(BUILD)/hyssoprail-gateway --directory=$(BUILD)/run/gateway-soak \
		--seed=$(SEED) --seeds=$(SEEDS) --seconds=12

# The targets are built with clang, beside the build of the project.
SECONDS ?= 60
fuzz-build: packages
	@JOBS=$(JOBS) scripts/fuzz.sh build $(BUILD)-fuzz

fuzz: fuzz-build
	@scripts/fuzz.sh $(if $(TARGET),run $(BUILD)-fuzz $(TARGET),all $(BUILD)-fuzz) $(SECONDS)

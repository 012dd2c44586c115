# The two commands of the README are `make demo` and `make test`; both install what they need.
BUILD ?= build
JOBS ?= 8
SOURCES = $(shell git ls-files -co --exclude-standard '*.cpp' '*.h')

.PHONY: packages build release demo test soak sanitize format format-check tidy bench

packages:
	bash scripts/packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# The build of deploy/system.toml; at its level of optimisation the compiler warns of other things.
release: packages
	cmake -S . -B build-release -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	cmake --build build-release -j $(JOBS) --target indigoway-edge

demo: build
	BUILD=$(BUILD) bash scripts/demo.sh

test: build
	bash scripts/run-tests.sh $(BUILD)

# The same tests with the address and undefined-behaviour sanitizers.
sanitize: packages
	cmake -S . -B build-sanitize -G Ninja -DSANITIZE=ON >/dev/null
	cmake --build build-sanitize -j $(JOBS)
	bash scripts/run-tests.sh build-sanitize

# Fault soak of real processes: make soak SEEDS=50, or from another seed on: make soak FROM=100
SEEDS ?= 10
FROM ?= 1
soak: build
	python3 tests/soak/soak.py --build $(BUILD) --seed $(FROM) --runs $(SEEDS)

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

# Analyses every source file; warnings are errors.
tidy: build
	git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' | xargs -P $(JOBS) -n 4 clang-tidy --quiet -p $(BUILD)

# make bench, or one part: make bench PART=policy
PART ?= relay policy capacity keys
bench: build
	for part in $(PART); do BUILD=$(BUILD) bash bench/$$part.sh || exit 1; done

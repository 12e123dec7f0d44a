PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEEDS ?= 200

.PHONY: setup format lint test demo bench soak soak-processes fuzz report binary clean lock

setup: $(STAMP)

$(STAMP): requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/dev.txt
	touch $@

format: setup
	$(BIN)/black .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

test: lint
	$(BIN)/python -m tests

demo: setup
	$(BIN)/python -m shallotshore demo

bench: setup
	$(BIN)/python -m bench

report: setup
	$(BIN)/python -m bench.report

soak: setup
	$(BIN)/python -m bench.soak --seeds $(SEEDS)

# Kills, pauses, restarts and disconnects real processes on loopback; about 13 s a seed.
soak-processes: setup
	$(BIN)/python -m bench.process_soak --seeds $(SEEDS)

# Runs the codec tests with 20,000 generated examples each; about two minutes.
fuzz: setup
	FUZZ_EXAMPLES=20000 $(BIN)/python -m tests BadInput RoundTrip HostileMessage

# Builds one file that needs only Python 3.11; docs/binary.md says where it unpacks itself.
binary: setup
	$(BIN)/python .ci/collect_packages.py build/binary
	mkdir -p dist
	$(BIN)/shiv --site-packages build/binary -e shallotshore.main:run --compressed \
	  --extend-pythonpath --reproducible -p "/usr/bin/env python3.11" -o dist/shallotshore
	.ci/check_binary

clean:
	rm -rf build dist .mypy_cache .ruff_cache

lock: setup
	$(BIN)/uv pip compile -q --generate-hashes -p 3.11 -o requirements/run.txt requirements/run.in
	$(BIN)/uv pip compile -q --generate-hashes -p 3.11 -o requirements/dev.txt requirements/dev.in
	$(BIN)/uv pip compile -q --generate-hashes -p 3.11 -o requirements/platform.txt requirements/platform.in

# Development tasks. To start, run `make demo` or `make test`: both set up the environment first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo demo-up demo-down test lint latency policies changes plans pauses capacity chaos partitions deadly upgrades soak eligibility-soak silence-soak stop-soak unruly-soak bench-setup

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	bash demo/demo.sh run

demo-up: setup
	bash demo/demo.sh up

demo-down:
	bash demo/demo.sh down

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: setup
	$(BIN)/python -m pytest

SEED ?= 1
SECONDS ?= 60
SEEDS ?= 10

bench-setup: setup
	$(BIN)/pip install -q --disable-pip-version-check -e '.[bench]'

latency: setup
	$(BIN)/chutelink-bench latency

policies: bench-setup
	$(BIN)/chutelink-bench policies --csv docs/weights.csv --plot docs/weights.png

changes: setup
	$(BIN)/chutelink-bench changes

plans: setup
	$(BIN)/chutelink-bench plans

pauses: setup
	$(BIN)/chutelink-bench pauses

capacity: setup
	$(BIN)/chutelink-bench capacity --csv docs/capacity.csv

soak: setup
	$(BIN)/python -m soak.main --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

eligibility-soak: setup
	$(BIN)/python -m soak.main --eligibility --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

silence-soak: setup
	$(BIN)/python -m soak.main --silences --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

stop-soak: setup
	$(BIN)/python -m soak.stops --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

unruly-soak: setup
	$(BIN)/python -m soak.unruly --first $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

partitions: setup
	$(BIN)/python -m tests.entry.partition_soak --first $(SEED) --seeds $(SEEDS)

deadly: setup
	$(BIN)/python -m tests.processes.deadly_soak --first $(SEED) --seeds $(SEEDS)

upgrades: setup
	$(BIN)/python -m soak.upgrades --first $(SEED) --seeds $(SEEDS)

chaos: setup
	$(BIN)/python -m tests.processes.chaos --seed $(SEED) --seconds $(SECONDS)

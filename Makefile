# Everything a newcomer needs: make demo, make test.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo demo-up demo-down test lint bench latency capacity chaos

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

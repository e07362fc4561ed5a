PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format types features fuzz model bench-requests \
	bench-nodes bench-policy bench-jobs bench-planning \
	capacity soak soak-jobs binary clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(BIN)/python -m standins.demo

test: $(STAMP)
	$(BIN)/python -m tools.run_tests

lint: $(STAMP)
	$(BIN)/python -m tools.run_tests lint

format: $(STAMP)
	$(BIN)/ruff check --fix src standins features tests bench tools
	$(BIN)/ruff format src standins features tests bench tools

types: $(STAMP)
	$(BIN)/mypy

features: $(STAMP)
	$(BIN)/python -m tools.run_tests features

fuzz: $(STAMP)
	$(BIN)/python -m tools.run_tests unit

clean:
	rm -rf build dist .mypy_cache .ruff_cache .hypothesis


binary: $(STAMP)
	$(BIN)/python -m tools.binary

.PHONY: tour
tour: $(STAMP)
	$(BIN)/python -m tools.tour

capacity: $(STAMP)
	$(BIN)/python -m tools.capacity

soak: $(STAMP)
	$(BIN)/python -m standins.soak

soak-jobs: $(STAMP)
	$(BIN)/python -m standins.job_soak

bench-policy: $(STAMP)
	$(BIN)/python -m bench.policy

bench-jobs: $(STAMP)
	$(BIN)/python -m bench.jobs

bench-planning: $(STAMP)
	$(BIN)/python -m bench.planning_cost

bench-nodes: $(STAMP)
	$(BIN)/python -m bench.nodes

model: $(STAMP)
	$(BIN)/python -m bench.model

bench-requests: $(STAMP)
	$(BIN)/python -m bench.requests

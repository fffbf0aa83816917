PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format bench overload failover placement capacity red lanes router soak clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable ".[dev]"
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	$(BIN)/python -m tests.run

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench.path

overload: $(STAMP)
	$(BIN)/python -m bench.overload

failover: $(STAMP)
	$(BIN)/python -m bench.failover

lanes: $(STAMP)
	$(BIN)/python -m bench.lanes

router: $(STAMP)
	$(BIN)/python -m bench.router
	$(BIN)/python -m bench.router --profile

placement: $(STAMP)
	$(BIN)/python -m bench.placement

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

SEED ?= 1
RUNS ?= 1
SECONDS ?= 30

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --runs $(RUNS) --seconds $(SECONDS)

clean:
	rm -rf $(VENV) build *.egg-info

red: $(STAMP)
	$(BIN)/python -m tests.red

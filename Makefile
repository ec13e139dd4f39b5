PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo up test soak measure slopes lint format clean

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps -e .
	touch $(READY)

demo: $(READY)  ## One session of each user through a whole system.
	$(BIN)/python -m standins.demo

up: $(READY)  ## The same system, left running for requests by hand.
	$(BIN)/python -m standins.up

test: $(READY)  ## All tests, with fixed seeds.
	$(BIN)/python -m test

soak: $(READY)  ## Properties with more examples, storms and soak with more seeds.
	AGATEDOCK_EXAMPLES=2000 $(BIN)/python -m test test_props test_steward \
		test_decisions test_shares test_snapshots test_reuse
	AGATEDOCK_SEEDS=1,2,3,4,5,6,7,8 $(BIN)/python -m test test_storm
	$(BIN)/python -m test.soak 11 12 13 14 15 16 17 18 19 20

lint: $(READY)  ## Formatter, linter and type checker.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) out build *.egg-info

measure: $(READY)  ## The decisions, against baselines; about 20 minutes.
	$(BIN)/python -m bench.measure

slopes: $(READY)  ## The slopes behind docs/CAPACITY.md; under 5 minutes.
	$(BIN)/python -m bench.slopes

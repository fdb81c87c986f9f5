PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
PLOTS_READY := $(VENV)/.plots-ready
TEST_WORKERS := 4
SOURCES := src standins tests tools bench demo

.PHONY: test demo lint types unit generate generated-check format capacity worth jobs-plot clean

test: lint types generated-check unit

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet setuptools wheel
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(READY)

$(PLOTS_READY): $(READY) requirements-plots.lock
	$(BIN)/python -m pip install --quiet -r requirements-plots.lock
	touch $(PLOTS_READY)

lint: $(READY)
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

types: $(READY)
	$(BIN)/mypy

generated-check: $(READY)
	$(BIN)/python tools/generate.py --check
	$(BIN)/python -m tools.generate_events --check
	$(BIN)/python -m tools.generate_api --check

unit: $(READY)
	$(BIN)/python -m pytest -m "not real_time" -n $(TEST_WORKERS)
	$(BIN)/python -m pytest -m real_time

generate: $(READY)
	$(BIN)/python tools/generate.py
	$(BIN)/python -m tools.generate_events
	$(BIN)/python -m tools.generate_api

format: $(READY)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

demo: $(READY)
	$(BIN)/python -m demo $(ARGS)

capacity: $(PLOTS_READY)
	$(BIN)/python -m bench.capacity

worth: $(READY)
	$(BIN)/python -m bench.tasks $(ARGS)

jobs-plot: $(PLOTS_READY)
	$(BIN)/python -m bench.jobs --plot \
	  --versions fifo-strict,fifo-first-fit,v1-late-binding,v5-yield

clean:
	rm -rf $(VENV)

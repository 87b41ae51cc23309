PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SOURCES = src standins tools benchmarks features
export PYTHONPATH = $(CURDIR)/src:$(CURDIR)

.PHONY: setup run test format lint types schema behave bench mutants binary soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes -r requirements.lock
	touch $@

run: setup
	$(BIN)/python -m tools.run_demo

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 src

types: setup
	$(BIN)/mypy

schema: setup
	$(BIN)/python -m tools.write_schema

behave: setup
	$(BIN)/python -m tools.run_behave

test: lint types behave

bench: setup
	$(BIN)/python -m benchmarks.run

mutants: setup
	$(BIN)/python -m tools.run_mutants

binary: setup
	$(BIN)/python -m tools.build_binary

SEEDS ?= fresh:5

soak: setup
	$(BIN)/python -m tools.soak --seeds $(SEEDS)

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SOURCES := src tests demo tools
DEPLOYMENT ?= two-zones
KEEP ?= 0

.PHONY: demo test check install format lint types tests binary measure

demo: $(VENV)/.installed
	PYTHONPATH=src $(BIN)/python -m demo --deployment $(DEPLOYMENT) --keep $(KEEP)

test: install check

check: format lint types tests

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -e '.[dev]'
	touch $@

install: $(VENV)/.installed

format:
	$(BIN)/ruff format --check $(SOURCES)

lint:
	$(BIN)/flake8 --jobs 4 $(SOURCES)

types:
	$(BIN)/mypy

tests:
	$(BIN)/python -m tools.run_tests

binary: install
	mkdir -p dist
	$(BIN)/shiv -q -o dist/hickorymux -e hickorymux.__main__:main --no-modify .

measure: install
	$(BIN)/python -m pip install -q -e '.[measure]'
	PYTHONPATH=src $(BIN)/python -m tools.measure

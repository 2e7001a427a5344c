# Targets for people and for CI. Everything runs from .venv, made on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint format bench capacity idl

$(READY): requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m standin.demo

test: $(READY)
	$(BIN)/python -m pytest

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(READY)
	$(BIN)/python -m standin.bench

capacity: $(READY)
	$(BIN)/python -m standin.capacity

# Needs the thrift compiler; the generated code is committed.
idl:
	thrift -gen py -out . idl/control.thrift
	rm -f hingepitch/gen/control/Control-remote __init__.py

PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo test lint format

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[test]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/guavawalk demo

lint: $(STAMP)
	$(VENV)/bin/black --check .
	$(VENV)/bin/ruff check .

test: lint
	$(VENV)/bin/python -m pytest -n 4

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/black .

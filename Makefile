VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEEDS := 1-3

.PHONY: demo test soak lint format

demo: $(STAMP)
	PYTHON=$(PYTHON) sh examples/demo.sh

test: $(STAMP)
	$(PYTHON) -m pytest

soak: $(STAMP)
	$(PYTHON) -m soak --seeds $(SEEDS)

lint: $(STAMP)
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .

format: $(STAMP)
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

# The two commands of the project are `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/mustardlb packages/mustardlbd packages/mustardlb-cli \
	packages/mustardlb-standins packages/mustardlb-gateway platform
CODE := packages platform tests tools

.PHONY: demo test format lint matrix mutants clean

$(VENV)/ready: constraints.txt requirements-dev.txt $(PACKAGES:=/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -c constraints.txt -r requirements-dev.txt setuptools wheel
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --no-build-isolation -c constraints.txt $(PACKAGES:%=-e %)
	touch $@

demo: $(VENV)/ready
	$(BIN)/python tools/demo.py

# A fixed hash seed makes the iteration order of sets reproducible.
test: lint
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

lint: $(VENV)/ready
	$(BIN)/ruff format --check --quiet $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy --no-error-summary packages platform tools

format: $(VENV)/ready
	$(BIN)/ruff check --fix --quiet $(CODE) || true
	$(BIN)/ruff format --quiet $(CODE)

matrix: $(VENV)/ready
	$(BIN)/python tools/matrix.py

mutants: $(VENV)/ready
	$(BIN)/python tools/mutants.py

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis

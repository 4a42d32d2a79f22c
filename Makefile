PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(foreach p,kernel pool client node standins load,packages/$(p)) platform
EDITABLE := $(foreach p,$(PACKAGES),-e $(p))
SOURCES := conftest.py packages platform tests

.PHONY: bench demo test test-units test-platform test-faults test-system faults soak soak-platform proof lint format check setup

setup: $(STAMP)

$(STAMP): requirements.txt $(foreach p,$(PACKAGES),$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m chiveridge_load.demos

bench: $(STAMP)
	$(BIN)/python -m chiveridge_load.benches --suite
	$(BIN)/python -m chiveridge_load.control_suites

# The groups run side by side: those of real processes mostly wait.
TEST_GROUPS := test-units test-platform test-faults test-system

test: $(STAMP)
	$(MAKE) --jobs=$(words $(TEST_GROUPS)) --output-sync=target --keep-going $(TEST_GROUPS)

test-units: $(STAMP)
	$(BIN)/python -m pytest packages tests --ignore=tests/integration

# In the folder itself: pytest names modules by their path, and "platform" is the library's.
test-platform: $(STAMP)
	cd platform && ../$(BIN)/python -m pytest tests

test-faults: $(STAMP)
	$(BIN)/python -m pytest tests/integration/test_faults.py

test-system: $(STAMP)
	$(BIN)/python -m pytest tests/integration --ignore=tests/integration/test_faults.py

SEEDS ?= 300

soak: $(STAMP)
	$(BIN)/python -m chiveridge_load.pool_soaks --seeds $(SEEDS) $(if $(SEED),--first_seed $(SEED))

# Real processes, about half a minute a seed.
soak-platform: SEEDS = 10
soak-platform: $(STAMP)
	$(BIN)/python -m chiveridge_platform_soaks.soaks --seeds $(SEEDS) $(if $(SEED),--first_seed $(SEED))

JOBS ?= 2000

faults: $(STAMP)
	$(BIN)/python -m chiveridge_load.faults --jobs $(JOBS) $(if $(SEED),--seed $(SEED))

proof: $(STAMP)
	$(BIN)/python -m pytest --collect-only --quiet --quiet --proof-page=docs/PROOF.md

lint: $(STAMP)
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/lint-imports --no-cache

format: $(STAMP)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

check: lint test

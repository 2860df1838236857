PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test demo lint format types imports names check golden bench surge measure capacity soak fuzz regression

# Recreates the environment when the lock file changes.
$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

setup: $(VENV)/.installed

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m mustardshunt.standin.demo

bench: setup
	$(BIN)/python -m mustardshunt.standin.bench

golden: setup
	$(BIN)/python -m mustardshunt.node.tests.golden_sessions

surge: setup
	$(BIN)/python -m mustardshunt.standin.surge

soak: setup
	$(BIN)/python -m mustardshunt.standin.soak

# Runs the fuzz tests of all decoders with fresh seeds.
fuzz: setup
	FUZZ_EXAMPLES=5000 $(BIN)/python -m pytest mustardshunt/platform/tests/test_fuzz.py mustardshunt/relay/tests/test_fuzz.py

measure: setup
	$(BIN)/python -m mustardshunt.measure

capacity: setup
	$(BIN)/python -m mustardshunt.measure.capacity

format: setup
	$(BIN)/ruff format mustardshunt
	$(BIN)/ruff check --fix mustardshunt

lint: setup
	$(BIN)/ruff format --check mustardshunt
	$(BIN)/ruff check mustardshunt
	$(BIN)/flake8 mustardshunt

types: setup
	$(BIN)/mypy

imports: setup
	$(BIN)/lint-imports

# The platform's names are allowed only in the adapter, the stand-ins and tests.
PLATFORM_NAMES := rows-(tx|get|feed|parts)|weighted_targets|auth_exempt|target_latency|cold_remaining|heartbeat_url|Mustardshunt-(Deadline|Request-Id|Response-Stamp|Expect|Tenant|Caller|Not-Executed|Cold)|Server-(Limit|Leaving)|Store-Era

names:
	! git grep -nIE '$(PLATFORM_NAMES)' -- 'mustardshunt/*.py' ':!mustardshunt/platform/*' ':!mustardshunt/standin/*' ':!*/tests/*'

# Quick scores on the users' bench: FLEETBENCH is its program, SITES are the site
# files of the deployments.
regression: setup
	for site in $(SITES); do $(FLEETBENCH) score $$site --quick --why 'regression run' || exit 1; done

check: lint types imports names

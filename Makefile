# One virtual environment from pinned requirements; VENV may name a shared one.
VENV ?= .venv
PYTHON = PYTHONPATH=src $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: demo test lint format docs check-spec matrix clean day soak \
	bench-control bench-burst bench-load bench-slopes

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(VENV)/bin/python -m pytest

demo: $(STAMP)
	$(PYTHON) -m tests.demo

docs: $(STAMP)
	$(PYTHON) -m wisteriapulley.reference

check-spec: $(STAMP)
	$(PYTHON) -m specs.check

matrix: $(STAMP)
	$(PYTHON) -m tests.matrix

bench-control bench-burst bench-load bench-slopes: $(STAMP)
	$(PYTHON) -m bench.$(subst bench-,,$@)

# Fresh seeds of the soak; SECONDS of faults each.
SEEDS ?= 5
SECONDS ?= 30
soak: $(STAMP)
	$(PYTHON) -m soak --seeds $(SEEDS) --seconds $(SECONDS)

# One day of a deployment, where the users' kit is at hand.
KIT ?= ../given/kit/more/system/bin/fleetbench
WHY ?= a look at one day
day:
	$(KIT) run $(SITE) $(DAY) --why "$(WHY)"

clean:
	rm -rf .demo .matrix .soak .pytest_cache .ruff_cache .hypothesis

# Every target sets itself up; see README.md.
PACKAGES := packages/core packages/runtime platform packages/fleet packages/entry packages/agent packages/standins platform/standins
SOURCES := $(foreach package,$(PACKAGES),$(package)/src)
CHECKED := $(SOURCES) measures soak specs tests tools
# What the serving processes import, compiled without docstrings.
LIBRARIES := curio h11 attr attrs msgspec opentelemetry prometheus_client typing_extensions.py
PYTHON := .venv/bin/python
space := $(subst ,, )
export PYTHONPATH := $(subst $(space),:,$(foreach source,$(SOURCES),$(CURDIR)/$(source))):$(CURDIR)
export PATH := $(CURDIR)/.venv/bin:$(PATH)

.PHONY: setup demo up test format check measure soak

setup: .venv/installed

.venv/installed: requirements.lock
	test -x $(PYTHON) || python3.11 -m venv .venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach package,$(PACKAGES),-e ./$(package))
	$(PYTHON) -m compileall -q -o 2 $(foreach library,$(LIBRARIES),.venv/lib/python3.11/site-packages/$(library)) $(SOURCES)
	touch $@

demo: setup
	@$(PYTHON) tools/demo.py

up: setup
	@$(PYTHON) tools/demo.py --keep-running

test: check
	$(PYTHON) -m pytest

check: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m flake8 $(CHECKED)
	$(PYTHON) -m mypy $(CHECKED)

format: setup
	$(PYTHON) -m ruff format .

# make soak SEED=1 SECONDS=30 COUNT=10
soak: setup
	$(PYTHON) -m soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),30) --count $(or $(COUNT),1)

measure: setup
	$(PYTHON) -m measures all

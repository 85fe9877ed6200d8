VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: install test lint unit demo demo-site serve bench bench-relay bench-state bench-times seeded drill soak soak-site soak-signals clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

unit: install
	$(BIN)/python bin/run_tests.py

test: lint unit

demo: install
	$(BIN)/python bin/demo.py

demo-site: install
	$(BIN)/python bin/demo_site.py

serve: install
	$(BIN)/python bin/demo.py --serve

bench: install
	$(BIN)/python bin/bench.py

bench-relay: install
	$(BIN)/python bin/bench_relay.py

bench-times: install
	$(BIN)/python bin/bench_times.py

bench-state: install
	$(BIN)/python bin/bench_state.py

seeded: install
	$(BIN)/python bin/check_seeded.py

soak: install
	$(BIN)/python bin/soak.py

drill: install
	$(BIN)/python bin/drill.py --seeds 50

soak-site: install
	$(BIN)/python bin/soak_site.py

soak-signals: install
	$(BIN)/python bin/soak_signals.py

clean:
	rm -rf build $(VENV) .ruff_cache .hypothesis

# Main targets: build, try, test, bench, run. `make run CONFIG=FILE` starts a sidecar with another configuration.
CONFIG ?= example/config.json
AGAINST ?= HEAD
SEEDS ?= 50
FIRST_SEED ?= 1
KIT ?=
PY = .venv/bin/python

.PHONY: build lab dev try test soak lint bench fleet regress standing run check toy

build:
	sh deploy/build.sh

lab: build
	.venv/bin/pip -q install -r requirements-lab.txt

dev: build
	.venv/bin/pip -q install -r requirements-dev.txt

try: lab
	$(PY) -m cressrail experiment run example/experiments/try.toml --out try-out

test: lint
	$(PY) -m pytest -q -n auto --dist loadfile

soak: dev
	$(PY) -m tests.faults.soak $(FIRST_SEED) $(SEEDS) 4

lint: dev
	.venv/bin/ruff format --check . && .venv/bin/ruff check . && .venv/bin/mypy

bench: lab
	$(PY) -m cressrail experiment cost --against $(AGAINST)

fleet: lab
	$(PY) -m cressrail.experiment.fleet_faults $(or $(SCENARIO),$(filter-out %-200.toml %-230.toml,$(wildcard example/fleets/*.toml)))

regress: build
	$(PY) tools/regress.py $(KIT) $(if $(FULL),--full)

standing: build
	$(PY) tools/regress.py $(KIT) --standing $(if $(FULL),--full)

run: build
	exec $(PY) -m cressrail serve $(CONFIG)

check: build
	$(PY) -m cressrail check $(CONFIG)

toy:
	python3 example/toy_server.py

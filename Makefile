# One command to run, one to test.
.PHONY: run test bench

# Tests that start processes run in one of them (tests/conftest.py), the others beside.
WORKERS ?= $(shell n=$$(nproc); echo $$((n < 4 ? n : 4)))

.venv/.ready: requirements.txt requirements-operator.txt requirements-plot.txt requirements-scale.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch .venv/.ready

run: .venv/.ready
	.venv/bin/python -m whintrail demo

test: .venv/.ready
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/python -m pytest -q -n $(WORKERS) --dist loadgroup

bench: .venv/.ready
	.venv/bin/python -m benchmarks.timers

# Each target sets up .venv itself; the stamp files make that happen once.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PIP_FLAGS := --disable-pip-version-check --no-compile --quiet
DURATION ?= 300

.PHONY: run run-platform soak test check format rename-tools spec fuzz proto clean

$(VENV)/.runtime: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install $(PIP_FLAGS) -r requirements.txt
	touch $@

$(VENV)/.dev: requirements-dev.txt $(VENV)/.runtime
	$(BIN)/pip install $(PIP_FLAGS) -r requirements-dev.txt
	touch $@

run: $(VENV)/.runtime
	$(BIN)/python -m winchfork dev

run-platform: $(VENV)/.runtime
	$(BIN)/python -m standins

soak: $(VENV)/.runtime
	$(BIN)/python -m standins.soak --seconds $(DURATION) $(if $(SEED),--seed $(SEED)) $(SOAK_FLAGS)

test: $(VENV)/.dev
	$(BIN)/python -m tests.run

check: $(VENV)/.dev
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(VENV)/.dev
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

rename-tools: $(VENV)/.dev
	$(BIN)/pip install $(PIP_FLAGS) -r requirements-rename.txt

spec: $(VENV)/.dev
	$(BIN)/python -m spec.check --deep

fuzz: $(VENV)/.dev
	$(BIN)/python -m tests.fuzz --seconds $(DURATION)

proto: $(VENV)/.dev
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=winchfork/control \
	  --pyi_out=winchfork/control --grpc_python_out=winchfork/control proto/winchfork.proto
	sed -i 's/^import winchfork_pb2/from winchfork.control import winchfork_pb2/' \
	  winchfork/control/winchfork_pb2_grpc.py

clean:
	rm -rf $(VENV)

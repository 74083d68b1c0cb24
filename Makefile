PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
SEED ?= 1
ROUNDS ?= 1
SECONDS ?= 20

.PHONY: soak help install format check test demo binary bench bench-decisions chaos slopes clean

help:  ## List the verbs
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/:/'

$(STAMP): requirements.txt requirements-dev.txt constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -r constraints.txt
	touch $(STAMP)

install: $(STAMP)  ## Install what the checkout needs, pinned

format: $(STAMP)  ## Format the code
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

check: $(STAMP)  ## Check format and lint
	$(BIN)/ruff format -q --check .
	$(BIN)/ruff check -q .
	$(BIN)/flake8 daisygw standins tests bench

test: check  ## Check, and run all tests
	$(BIN)/python -m behave --no-summary tests/features

demo: $(STAMP)  ## Run a small cell and submit to it
	$(BIN)/python -m standins.demo

binary: $(STAMP)  ## Build the one binary, dist/daisygw
	sh standins/build.sh $(BIN)

bench: $(STAMP)  ## Measure whole cells at the users' sizes
	mkdir -p run
	$(BIN)/python -m bench.cells > run/cells.jsonl
	$(BIN)/python -m bench.plot run/cells.jsonl run/cells.png
	cat run/cells.jsonl

bench-decisions: $(STAMP)  ## Measure the decisions alone
	$(BIN)/python -m bench.decisions
	$(BIN)/python -m bench.waits

slopes: $(STAMP)  ## Measure the slopes of docs/CAPACITY.md
	$(BIN)/python -m bench.slopes

chaos: $(STAMP)  ## Break a cell at random: SEED=n ROUNDS=n
	$(BIN)/python -m bench.chaos --seed $(SEED) --rounds $(ROUNDS)

soak: $(STAMP)  ## Break a platform cell's processes: SEED=n ROUNDS=n SECONDS=n
	$(BIN)/python -m bench.soak --seed $(SEED) --rounds $(ROUNDS) --seconds $(SECONDS)

clean:  ## Remove what was built
	rm -rf build dist run *.egg-info

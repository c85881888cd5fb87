# Build, test, lint and run. `make toy` beside `make run` gives the server all that it talks to.
.PHONY: build test lint ci run toy

CONFIG ?= examples/config.json

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

ci:
	bash .ci/run

run: build
	NODE_CONFIG=$(CONFIG) target/release/heathspurd

toy:
	cargo run --release --locked --example toy -- $(CONFIG)

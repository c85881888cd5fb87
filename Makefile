# Build, test, lint and run. `make toy` beside `make run` gives the server all that it talks to.
.PHONY: build test lint ci run toy measure-pcap

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

# The daemon before captures came in: what a request costs is compared with it.
BEFORE_PCAP := f4ac2d3

target/before-%/heathspurd:
	git worktree add --force --detach target/tree-$* $*
	cd target/tree-$* && cargo build --release --locked -p heathspurd --target-dir ../build-$*
	git worktree remove --force target/tree-$*
	mkdir -p $(@D) && cp target/build-$*/release/heathspurd $@

# Under five minutes, on loopback, with the machine to itself and valgrind on it. Not in CI.
measure-pcap: build target/before-$(BEFORE_PCAP)/heathspurd
	target/release/measure pcap --baseline target/before-$(BEFORE_PCAP)/heathspurd --results docs/measurements

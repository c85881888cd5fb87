//! The configuration of the server under test.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns the default settings: the read-like class `look`, the idempotent class `pay`, and the tenant `north`.
pub fn default_settings() -> Value {
    json!({
        "services": [
            {"name": "look", "effect": "read_like", "gain": 1.0, "give-up-s": 15.0, "slo-s": 10.0, "late-worth": 0.0,
             "dedup-window-s": 5.0},
            {"name": "pay", "effect": "idempotency_key", "gain": 4.0, "give-up-s": 15.0, "slo-s": 10.0,
             "late-worth": 0.2, "dedup-window-s": 60.0}
        ],
        "servers": 1,
        "realms": [{"name": "north", "portion": 1.0, "quota-per-s": 400.0}],
        "over-share-worth": 0.05,
        "worth-by": "request",
        "caps": {"retry-after": true, "max-retry-after-s": 1.0},
        "goal": {"whole": 0.7, "worst-class": 0.3},
        "family-info": {"n-cores": 4, "mem-limit-kb": 9000.0, "run-factor": 4.0, "key-kb": 10.0, "halt": "pause",
            "depends-on": "tier", "calls-by-class": [true, true], "class-skip-worth": [0.5, 0.0], "idle-s": 30.0,
            "say": "none", "cancel-seen": true, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "guarantees": {"fall-multiple": 5.0, "fall-s": 2.0, "grace-to-answer-s": 0.06, "drain-grace-s": 1.0,
            "start-capacity": 0.2, "warm-up-s": 10.0},
        "tick-s": 0.002
    })
}

/// Returns a configuration with the addresses of the server's peers; the server listens on a free port.
pub fn server_config(
    interpreter: SocketAddr,
    registration: SocketAddr,
    store: SocketAddr,
) -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "vm": interpreter, "announce": registration, "store": store,
        "seed": "8c1f30d27a5be964", "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": default_settings()})
}

/// Writes a configuration to a new temporary file and returns its path; the caller removes the file.
///
/// # Panics
///
/// Panics if the file cannot be written.
pub fn write_config_file(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "heathspurd-{}-{}.json",
        std::process::id(),
        COUNT.fetch_add(1, Ordering::Relaxed)
    );
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text)
        .unwrap_or_else(|e| panic!("write the configuration to {}: {e}", file.display()));
    file
}

"""Case 1: the link to the interpreter breaks while keyed requests run, and some of them are run a second time."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s  # noqa: E402

RECORD_FILE = os.path.join(HERE, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = float(os.environ.get("SECONDS_OF_LOAD", "90"))
BREAK_EVERY_S = 2.0
REQUESTS_PER_S = 65
BALANCERS = 4
BREAKS = []


def config(listen, vm, announce):
    """A server of the last tier of riga-auth: no calls, so no store."""
    classes = [
        {"name": "card-check", "effect": "read_like", "gain": 1.0, "slo-s": 2.3, "give-up-s": 5.9, "late-worth": 0.0,
         "dedup-window-s": 5.0},
        {"name": "capture", "effect": "idempotency_key", "gain": 4.0, "slo-s": 2.3, "give-up-s": 7.3, "late-worth": 0.2,
         "dedup-window-s": 21.951},
    ]
    return {
        "name": "n1", "listen": listen, "vm": vm, "announce": announce,
        "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": {
            "services": classes, "servers": 1, "areas": ["riga-north"], "my-zone": "riga-north",
            "realms": [{"name": "baltic-fleet", "portion": 0.5, "quota-per-s": 200.0},
                       {"name": "vidzeme-trans", "portion": 0.5, "quota-per-s": 200.0}],
            "over-share-worth": 0.05, "worth-by": "request", "tiers": ["gateway", "ledger"], "stage": 1,
            "caps": {"retry-after": True, "max-retry-after-s": 1.0},
            "goal": {"whole": 0.55, "worst-class": 0.15, "worst-tenant": 0.15, "worst-window": 0.15},
            "family-info": {
                "n-cores": 6, "mem-limit-kb": 60000.0, "run-factor": 8.0, "key-kb": 2.0, "halt": "pause",
                "cancel-seen": True, "readiness": True, "depends-on": "none", "calls-by-class": [False, False],
                "class-skip-worth": [0.0, 0.0], "say": "none", "deep-checks": False, "fresh-s": 0.0, "idle-s": 30.0,
                "upstreams": BALANCERS, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"], "cold": False,
            },
            "guarantees": {"fall-multiple": 5.0, "fall-s": 3.0, "grace-to-answer-s": 0.06, "drain-grace-s": 2.5,
                           "start-capacity": 0.21, "warm-up-s": 14.0},
            "tick-s": 0.002,
        },
    }


async def main(record):
    platform = s.Platform(record)
    interpreter = s.Interpreter(platform, work_ms=lambda: random.uniform(70, 110))
    announce = s.Announce(record)
    vm, announce_address = await interpreter.listen(), await announce.listen()
    listen = "127.0.0.1:%d" % s.free_port()
    if TROUBLE:
        # "Notices arrive in pieces": half of them in two, 1 to 5 ms apart.
        s.InterpreterLink.piece_ms = staticmethod(lambda: random.uniform(1, 5) if random.random() < 0.5 else 0)
    server = s.Server(config(listen, vm, announce_address), record)
    try:
        tenants = ["baltic-fleet", "vidzeme-trans"]
        balancers = [s.Balancer(platform, interpreter, listen, n, tenants[n % 2]) for n in range(BALANCERS)]
        await s.wait_ready(balancers[0], announce)
        await load(platform, interpreter, balancers, record)
        if server.process.poll() is not None:
            raise RuntimeError("the server ended")
        return verdict(platform, interpreter, record)
    finally:
        server.end()


async def load(platform, interpreter, balancers, record):
    start = s.now()
    tasks, breaks, number = [], 0, 0
    next_break = start + BREAK_EVERY_S
    while s.now() < start + SECONDS:
        number += 1
        balancer = balancers[number % BALANCERS]
        if number % 4:
            key = "%032x" % random.getrandbits(128)
            tasks.append(asyncio.create_task(balancer.send("capture", b"capture %d" % number, key)))
        else:
            tasks.append(asyncio.create_task(balancer.send("card-check", b"check %d" % number)))
        if TROUBLE and s.now() >= next_break and interpreter.break_link("reset"):
            breaks += 1
            BREAKS.append(s.now())
            next_break += BREAK_EVERY_S
        await asyncio.sleep(max(0, start + number / REQUESTS_PER_S - s.now()))
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.3)
    record.line(f"{number} requests, {breaks} breaks of the link")
    print(f"{number} requests, {breaks} breaks of the link")


def verdict(platform, interpreter, record):
    """No keyed request is run more than once within its window."""
    keyed_runs = {}
    for runs in interpreter.history.values():
        for run in runs:
            if run.request.key is not None:
                keyed_runs.setdefault(run.request.key, []).append(run)
    broken = 0
    for key, runs in keyed_runs.items():
        if len(runs) > 1:
            broken += 1
            first, second = runs[0], runs[1]
            gap = (second.started - first.started) * 1000
            broke = max((at for at in BREAKS if at < second.started), default=first.started)
            age = (broke - first.started) * 1000
            line = (
                f"RUN TWICE: key {key}, try {second.request.txn}: the second run began {gap:.1f} ms after the first; "
                f"the first APPLY was read {age:.1f} ms before the link broke"
            )
            record.line(line)
            print(line)
    served = sum(request.status == 200 for request in platform.requests.values())
    summary = f"{len(keyed_runs)} keyed requests ran, {broken} of them more than once; {served} requests were served"
    record.line(summary)
    print(summary)
    if served < 0.5 * len(platform.requests):
        raise RuntimeError("the server served too little for a verdict")
    return 1 if broken else 0


if __name__ == "__main__":
    s.run_case(main, RECORD_FILE)

"""Case 2: a new configuration moves the interpreter's address, and runs get the reply to an earlier call of theirs."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s  # noqa: E402

RECORD_FILE = os.path.join(HERE, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = float(os.environ.get("SECONDS_OF_LOAD", "90"))
RELOAD_EVERY_S = float(os.environ.get("RELOAD_EVERY_S", "1.0"))
REQUESTS_PER_S = float(os.environ.get("RATE", "170"))
BALANCERS = 4


def config(listen, vm, announce, store):
    classes = [
        {"name": "statement", "effect": "read_like", "gain": 1.0, "slo-s": 2.9, "give-up-s": 8.8, "late-worth": 0.0,
         "dedup-window-s": 5.0},
        {"name": "set-limit", "effect": "read_like", "gain": 2.0, "slo-s": 1.5, "give-up-s": 3.5, "late-worth": 0.0,
         "dedup-window-s": 5.0},
        {"name": "invoice", "effect": "non_idempotent", "gain": 5.0, "slo-s": 3.5, "give-up-s": 12.0,
         "late-worth": 0.2, "dedup-window-s": 5.0},
    ]
    return {
        "name": "n1", "listen": listen, "vm": vm, "announce": announce, "store": store,
        "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": {
            "services": classes, "servers": 1, "areas": ["daugavpils-a"], "my-zone": "daugavpils-a", "realms": [],
            "over-share-worth": 0.1, "worth-by": "request", "tiers": ["acct-servers"], "stage": 0,
            "caps": {"retry-after": True, "max-retry-after-s": 1.0},
            "goal": {"whole": 0.5, "worst-class": 0.35, "worst-tenant": 0.0, "worst-window": 0.15},
            "family-info": {
                "n-cores": 6, "mem-limit-kb": 60000.0, "run-factor": 16.0, "key-kb": 2.0, "halt": "pause",
                "cancel-seen": True, "readiness": True, "depends-on": "shared", "calls-out": 40.0,
                "calls-over-s": 5.0, "linger-s": 0.2, "calls-by-class": [True, False, True],
                "class-skip-worth": [0.6, 0.0, 0.0], "say": "none", "deep-checks": False, "fresh-s": 0.0,
                "idle-s": 30.0, "upstreams": BALANCERS, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "cold": False,
            },
            "guarantees": {"fall-multiple": 5.0, "fall-s": 2.0, "grace-to-answer-s": 0.08, "drain-grace-s": 2.0,
                           "start-capacity": 0.2, "warm-up-s": 13.0},
            "tick-s": 0.002,
        },
    }


def calls(request):
    """An invoice calls the accounts database twice, a statement once, set-limit never."""
    return {"invoice": 2, "statement": 1}.get(request.service, 0)


async def main(record):
    platform = s.Platform(record)
    interpreter = s.Interpreter(platform, work_ms=lambda: random.uniform(4, 14), calls=calls)
    store = s.Store(interpreter, work_ms=lambda: random.uniform(5, 20))
    announce = s.Announce(record)

    async def new_addresses():
        return await interpreter.listen(), await announce.listen(), await store.listen()

    addresses = await new_addresses()
    listen = "127.0.0.1:%d" % s.free_port()

    async def new_config():
        return config(listen, *await new_addresses())

    server = s.Server(config(listen, *addresses), record)
    try:
        balancers = [s.Balancer(platform, interpreter, listen, n, None) for n in range(BALANCERS)]
        await s.wait_ready(balancers[0], announce)
        await load(server, new_config, balancers, record)
        if server.process.poll() is not None:
            raise RuntimeError("the server ended")
        return verdict(platform, interpreter, store, record)
    finally:
        server.end()


async def load(server, new_config, balancers, record):
    start = s.now()
    tasks, reloads, number = [], 0, 0
    next_reload = start + 2.0
    while s.now() < start + SECONDS:
        number += 1
        balancer = balancers[number % BALANCERS]
        service = ("invoice", "invoice", "invoice", "statement", "set-limit")[number % 5]
        tasks.append(asyncio.create_task(balancer.send(service, b"%s %d" % (service.encode(), number))))
        if TROUBLE and s.now() >= next_reload:
            reloads += 1
            next_reload += RELOAD_EVERY_S
            server.config = await new_config()
            server.write_config()
            server.signal(signal.SIGHUP)
        await asyncio.sleep(max(0, start + number / REQUESTS_PER_S - s.now()))
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.3)
    line = f"{number} requests, {reloads} new configurations"
    record.line(line)
    print(line)


def verdict(platform, interpreter, store, record):
    """Each call of a run gets the reply that the store gave to this call; who is served gets the result of such a run."""
    replies, wrong_runs, served_wrong = 0, 0, 0
    for runs in interpreter.history.values():
        for run in runs:
            replies += len(run.replies)
            wrong = [(call, reply) for call, reply in run.replies if reply not in (None, store.reply_body(call))]
            if not wrong:
                continue
            wrong_runs += 1
            request = run.request
            served_wrong += request.status == 200
            for call, reply in wrong:
                line = (
                    f"WRONG REPLY: {request.service}, try {request.txn}: {call.decode()!r} got {reply.decode()!r}; "
                    f"its balancer was answered {request.status}: {request.answer!r}"
                )
                record.line(line)
                print(line)
    served = sum(request.status == 200 for request in platform.requests.values())
    summary = f"{replies} replies to calls, {wrong_runs} runs with a wrong one; {served} requests served, {served_wrong} of them from such a run"
    record.line(summary)
    print(summary)
    if served < 0.5 * len(platform.requests):
        raise RuntimeError("the server served too little for a verdict")
    return 1 if wrong_runs else 0


if __name__ == "__main__":
    s.run_case(main, RECORD_FILE)

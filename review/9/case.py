"""Case 9: the network between a balancer and the server is cut for 6 s; answers that are in time are dropped."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import *

RECORD_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")

BEFORE_S, CUT_S, AFTER_S = 3, 6, 2
RATE = 60          # requests a second of the balancer, one in four with a key
RUN_S = 0.5        # time of a run
RESULT = 4096      # bytes of a result, the most that the protocol page allows
GIVE_UP_S = 12.0   # as pre-auth of riga-auth
CLASSES = [("pre-auth", "read_like", 3.5, GIVE_UP_S, 5.0, False),
           ("capture", "idempotency_key", 3.5, GIVE_UP_S, 22.0, False)]


async def case(record, trouble, servers):
    requests = {}
    interpreter = Interpreter(record, requests, work=lambda r: RUN_S)
    interpreter.result_size = RESULT
    store, announce = Store(record, interpreter), Announce(record)
    server = Server(record, await interpreter.listen(), await announce.listen(), await store.listen(), http2=True,
                    classes=CLASSES, **{"n-cores": 32})
    servers.append(server)
    server.start()
    if not await server.ready():
        raise RuntimeError("the server did not become ready")
    proxy = Proxy(record, server.http2_port)
    balancer = Balancer2(record, requests, await proxy.listen(), large_windows=False)
    start = time.time()
    for tick in range((BEFORE_S + CUT_S + AFTER_S) * RATE):
        await asyncio.sleep(max(0.0, start + tick / RATE - time.time()))
        if tick == BEFORE_S * RATE and trouble:
            proxy.cut()
        if tick == (BEFORE_S + CUT_S) * RATE and trouble:
            proxy.heal()
        if BEFORE_S * RATE <= tick < (BEFORE_S + CUT_S) * RATE:
            continue   # the balancer sends nothing meanwhile, with or without the trouble
        kind = "capture" if tick % 4 == 0 else "pre-auth"
        request = Request(kind, b"request %d" % tick, key=new_key() if kind == "capture" else None)
        await balancer.send(request, patience=GIVE_UP_S + 0.06 + 0.05)
    await balancer.finish()
    record("outcomes: %s" % dict(balancer.outcomes))
    sent, lost = balancer.outcomes["sent"], len(balancer.lost)
    if lost * 1000 > 3 * sent:
        return ["lost: no whole answer in their time to %s" % share(lost, sent)]
    return []


run_case(RECORD_FILE, case)

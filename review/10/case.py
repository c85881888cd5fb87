"""Case 10: a balancer's messages come in pieces; the server ends its connection with requests open."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import *

RECORD_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")

CALM_S, PIECES_S = 3, 9
RATE = 60          # requests a second on the balancer's connection, one in ten with a key
RUN_S = 0.2        # time of a run
PIECE = 32         # bytes of a body that the balancer passes on at once in the trouble


async def case(record, trouble, servers):
    requests = {}
    interpreter = Interpreter(record, requests, work=lambda r: RUN_S)
    store, announce = Store(record, interpreter), Announce(record)
    server = Server(record, await interpreter.listen(), await announce.listen(), await store.listen(), http2=True,
                    **{"n-cores": 16})
    servers.append(server)
    server.start()
    if not await server.ready():
        raise RuntimeError("the server did not become ready")
    balancer = Balancer2(record, requests, server.http2_port)
    sizes = random.Random(7)
    start = time.time()
    for tick in range((CALM_S + PIECES_S) * RATE):
        await asyncio.sleep(max(0.0, start + tick / RATE - time.time()))
        pieces = PIECE if trouble and tick >= CALM_S * RATE else None
        if trouble and tick == CALM_S * RATE:
            record("balancer: passes bodies on in pieces of %d bytes from now on" % PIECE)
        body = b"request %d " % tick + b"." * sizes.randint(1000, 2000)
        if tick % 10 == 0:
            await balancer.send(Request("pay", body, key=new_key()), pieces=pieces)
        else:
            await balancer.send(Request("look-up", body), pieces=pieces)
    await balancer.finish()
    record("outcomes: %s" % dict(balancer.outcomes))
    sent, lost = balancer.outcomes["sent"], len(balancer.lost)
    if lost * 1000 > 3 * sent:
        return ["lost: the connection ended with no whole answer to %s" % share(lost, sent)]
    return []


run_case(RECORD_FILE, case)

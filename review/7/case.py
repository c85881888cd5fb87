"""Case 7: some hundred bad clients on the HTTP/2 port; the server needs more memory than its limit."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import *

RECORD_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")

MEMORY_MB, SOCKETS = 32, 512       # limits of the configuration
BEFORE_S, TROUBLE_S, AFTER_S = 3, 12, 2
RATE = 20                          # requests a second of the balancer, over HTTP/1.1
BAD_CLIENTS = 400
AT_ONCE = 30                       # half requests that a bad client sends at once


async def bad_client(port, counts):
    """Sends some half requests at once, reads what it is sent, and connects again when it is turned away."""
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            client = Http2(port)
            out = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(SETTINGS, 0, 0)
            for _ in range(AT_ONCE):
                request = Request("look-up", b"." * 2000)
                request.extra = {"X-Field-%d" % number: "a" * 150 for number in range(36)}   # under 8 KiB in all
                number, _, frames = client.request_frames(request)
                out += frames[0] + frame(DATA, 0, number, request.body[:1900])   # the rest never comes
            writer.write(out)
            counts["connections"] += 1
            while await asyncio.wait_for(reader.read(65536), 4):
                pass
            counts["closed by the server"] += 1
        except (OSError, EOFError, asyncio.TimeoutError):
            counts["ended"] += 1
        finally:
            if writer is not None:
                writer.transport.abort()
        await asyncio.sleep(0.02)


def memory_kb(pid):
    """The private memory of the process; the platform counts its files besides."""
    with open("/proc/%d/status" % pid) as f:
        return next(int(line.split()[1]) for line in f if line.startswith("RssAnon:"))


async def send(record, requests, port, request, outcomes):
    requests[request.txn] = request
    outcomes["sent"] += 1
    client = Http1(port)
    try:
        await asyncio.wait_for(client.open(), 6)
        client.write("POST", request.path(), request.headers(), request.body)
        status, _, _ = await asyncio.wait_for(client.answer(), 6)
        how = "answered %d" % status
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        how = "no answer (%s)" % type(error).__name__
    request.over = True
    outcomes[how] += 1
    record("balancer: %s %s: %s" % (request.kind, request.txn, how))


async def case(record, trouble, servers):
    requests, outcomes, counts = {}, collections.Counter(), collections.Counter()
    interpreter = Interpreter(record, requests, work=lambda r: 0.1)
    store, announce = Store(record, interpreter), Announce(record)
    server = Server(record, await interpreter.listen(), await announce.listen(), await store.listen(), http2=True,
                    limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, **{"n-cores": 6})
    servers.append(server)
    server.start()
    if not await server.ready():
        raise RuntimeError("the server did not become ready: " + server.log_text())
    # The platform: it kills the server once it goes over its memory.
    over, highest, bad, jobs, start = None, 0, [], [], time.time()
    for tick in range((BEFORE_S + TROUBLE_S + AFTER_S) * RATE):
        await asyncio.sleep(max(0.0, start + tick / RATE - time.time()))
        if trouble and tick == BEFORE_S * RATE:
            record("bad clients: %d connect" % BAD_CLIENTS)
            bad = [asyncio.ensure_future(bad_client(server.http2_port, counts)) for _ in range(BAD_CLIENTS)]
        if tick == (BEFORE_S + TROUBLE_S) * RATE:
            for job in bad:
                job.cancel()
            record("bad clients: gone; %s" % dict(counts))
        used = memory_kb(server.process.pid)
        if used > highest + 500:
            highest = used
            record("platform: the server needs %d KiB of its %d MiB" % (used, MEMORY_MB))
        if used > MEMORY_MB * 1024:
            over = used
            record("platform: killed the server, over its memory")
            server.process.kill()
            break
        request = Request("look-up", b"request %d" % tick)
        jobs.append(asyncio.ensure_future(send(record, requests, server.port, request, outcomes)))
    if jobs:
        await asyncio.wait(jobs, timeout=10)
    record("outcomes: %s; bad clients: %s" % (dict(outcomes), dict(counts)))
    if over:
        return ["fall-over: the server needed %d KiB, over its limit of %d MiB, and was killed" % (over, MEMORY_MB)]
    if server.process.poll() is not None:
        return ["the server ended by itself"]
    return []


run_case(RECORD_FILE, case)

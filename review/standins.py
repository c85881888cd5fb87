"""Stand-ins for everything a server talks to, on loopback: interpreter, store, announce service and balancers.

One process plays the whole platform, as the pages describe it, so it knows of each request when it was written, when it
was answered and which runs were made for it. All of it runs in one event loop on the real clock.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def now():
    return time.time()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)
        self.start = now()

    def line(self, text):
        self.file.write(f"{(now() - self.start) * 1000:11.2f} ms  {text}\n")

    def close(self):
        self.file.close()


class Request:
    """One try of a request, as the platform knows it."""

    def __init__(self, txn, service, key, body):
        self.txn = txn
        self.service = service
        self.key = key
        self.body = body
        self.ingress = None
        self.written = None
        self.status = None
        self.answer = None
        self.gone = False
        self.lost = False
        self.kb = 24.5  # the memory that is booked while it is held
        self.fields = []  # further header fields

    @property
    def over(self):
        """Whether the request is over: answered, or given up by its balancer."""
        return self.status is not None or self.gone


class Platform:
    """The requests that were written to the server, by their ids."""

    def __init__(self, record):
        self.record = record
        self.requests = {}

    def add(self, request):
        self.requests[request.txn] = request


class Run:
    """A run of the interpreter."""

    def __init__(self, request, body):
        self.request = request
        self.body = body
        self.started = now()
        self.state = "running"  # running, waiting (at a call) or over
        self.calls_left = 0
        self.call = None  # the number of the AWAIT notice that the run waits for
        self.replies = []  # (the call's body, the reply's body or None without the call)
        self.timer = None


class Interpreter:
    """The interpreter. Numbers its notices from 1, keeps the last 4,000, and has one link at a time."""

    def __init__(self, platform, work_ms, calls=lambda request: 0, outcome="hot"):
        self.platform = platform
        self.record = platform.record
        self.work_ms = work_ms  # draws the milliseconds of work of one stretch of a run
        self.calls = calls  # how many calls a run makes
        self.outcome = outcome
        self.started = now()
        self.notices = []
        self.last_index = 0
        self.runs = {}  # the runs that are not over, by the id of the request
        self.history = {}  # all runs, by the id of the request
        self.link = None
        self.door = Door()

    async def listen(self):
        return await self.door.open(lambda: InterpreterLink(self))

    def new_link(self, link):
        if self.link is not None and self.link is not link:
            self.link.replace()
        self.link = link

    def break_link(self, how):
        """Breaks the link. Runs go on. Commands that have not been read yet are lost with the link."""
        link = self.link
        if link is None:
            return False
        self.link = None
        self.record.line(f"LINK    breaks ({how})")
        link.break_now(how)
        return True

    # Notices

    def notice(self, fields):
        self.last_index += 1
        fields = {"verb": fields.pop("verb"), "index": self.last_index, **fields}
        line = (json.dumps(fields) + "\n").encode()
        self.notices.append((self.last_index, line))
        del self.notices[:-4000]
        if self.link is not None:
            self.link.send(line)
        return self.last_index

    # Runs

    def command(self, link, message):
        verb = message.get("verb")
        if verb == "CONNECT":
            self.new_link(link)
            self.record.line(f"LINK    CONNECT after notice {message['index']}")
            age = int((now() - self.started) * 1000)
            link.send((json.dumps({"verb": "BANNER", "outcome": self.outcome, "spent": age}) + "\n").encode())
            for index, line in self.notices:
                if index > message["index"]:
                    link.send(line)
        elif link is not self.link:
            return  # a newer link has replaced this one
        elif verb == "TOP":
            running = sum(run.state == "running" for run in self.runs.values())
            readings = [min(1.0, running / 6), running, 0.2, 20]
            link.send((json.dumps({"verb": "TOPS", "nonce": message["nonce"], "readings": readings}) + "\n").encode())
        elif verb == "APPLY":
            self.apply(link, message)
        elif verb == "RESOLVE":
            self.resolve(message["task"], base64.b64decode(message["bytes"]))
        elif verb == "STUB":
            run = self.runs.get(message["task"])
            if run is not None and run.state == "waiting" and run.call == message["index"]:
                run.replies.append((run.call_body, None))
                self.stretch(run)
        elif verb == "BREAK":
            run = self.runs.get(message["task"])
            if run is not None and run.state == "running":
                self.end(run, "cancelled", b"")
        elif verb == "CONTINUE":
            pass

    def apply(self, link, message):
        task = message["task"]
        request = self.platform.requests.get(task)
        body = base64.b64decode(message["bytes"])
        if request is None or request.service != message["handler"] or request.body != body:
            self.record.line(f"APPLY   {task} of no request that came to this process")
            link.send((json.dumps({"verb": "ERROR", "outcome": "APPLY", "task": task}) + "\n").encode())
            return
        if task in self.runs:
            self.record.line(f"APPLY   {task} key {request.key}: it runs already, nothing happens")
            return
        if request.over:
            self.record.line(f"APPLY   {task} key {request.key}: the request is over, nothing is started")
            self.notice({"verb": "VALUE", "task": task, "outcome": "unknown", "spent": 0})
            return
        run = Run(request, body)
        run.calls_left = self.calls(request)
        earlier = self.history.setdefault(task, [])
        earlier.append(run)
        self.runs[task] = run
        self.record.line(f"APPLY   {task} key {request.key}: run {len(earlier)} of this try starts")
        self.stretch(run)

    def stretch(self, run):
        """Does the next stretch of work of a run."""
        run.state = "running"
        run.timer = asyncio.get_running_loop().call_later(self.work_ms() / 1000, self.stretch_ends, run)

    def stretch_ends(self, run):
        if run.calls_left == 0:
            return self.end(run, "complete", self.result(run))
        if run.request.over:
            # "ended at a call as its request is over"
            return self.end(run, "cancelled", b"")
        number = self.calls(run.request) - run.calls_left + 1
        run.calls_left -= 1
        run.state = "waiting"
        body = b"call %d of %s" % (number, run.request.txn.encode())
        run.call_body = body
        run.call = self.notice(
            {"verb": "AWAIT", "task": run.request.txn, "bytes": base64.b64encode(body).decode()}
        )
        self.record.line(f"AWAIT   {run.request.txn} notice {run.call}: {body.decode()}")

    def resolve(self, task, body):
        run = self.runs.get(task)
        if run is None or run.state != "waiting":
            self.record.line(f"RESOLVE {task}: no run waits, nothing happens")
            return
        self.record.line(f"RESOLVE {task} for {run.call_body.decode()!r}: {body.decode()!r}")
        run.replies.append((run.call_body, body))
        self.stretch(run)

    def result(self, run):
        return b"result of " + run.body + b"".join(b" / " + (reply or b"without the call") for _, reply in run.replies)

    def request_over(self, request):
        """The request was answered or given up: a run that waits at a call ends there."""
        run = self.runs.get(request.txn)
        if run is not None and run.state == "waiting":
            self.end(run, "cancelled", b"")

    def end(self, run, outcome, body):
        if run.timer is not None:
            run.timer.cancel()
        run.state = "over"
        run.outcome = outcome
        del self.runs[run.request.txn]
        spent = int((now() - run.started) * 1000)
        index = self.notice(
            {
                "verb": "VALUE",
                "task": run.request.txn,
                "outcome": outcome,
                "spent": spent,
                "bytes": base64.b64encode(body).decode(),
            }
        )
        self.record.line(f"VALUE   {run.request.txn} notice {index}: {outcome} after {spent} ms")


class Door:
    """The address at which a stand-in listens. It can be moved: the old address takes no new connections, and the
    connections to it are closed after 1.5 s."""

    def __init__(self):
        self.server = None
        self.transports = []

    async def open(self, protocol):
        transports = []

        def connected():
            made = protocol()
            inner = made.connection_made

            def connection_made(transport):
                transports.append(transport)
                inner(transport)

            made.connection_made = connection_made
            return made

        old_server, old_transports = self.server, self.transports
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(connected, "127.0.0.1", 0)
        self.transports = transports
        if old_server is not None:
            old_server.close()
            loop.call_later(1.5, lambda: [transport.close() for transport in old_transports])
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]


class InterpreterLink(asyncio.Protocol):
    """One link from the server to the interpreter."""

    # Draws the milliseconds between two pieces of a notice, or 0 for a notice in one piece.
    piece_ms = staticmethod(lambda: 0)

    def __init__(self, interpreter):
        self.interpreter = interpreter
        self.buffer = b""
        self.outgoing = []
        self.in_pieces = False
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        if self.closed:
            return
        self.buffer += data
        while b"\n" in self.buffer and not self.closed:
            line, self.buffer = self.buffer.split(b"\n", 1)
            self.interpreter.command(self, json.loads(line))

    def connection_lost(self, error):
        self.closed = True
        if self.interpreter.link is self:
            self.interpreter.link = None

    def send(self, line):
        """Sends a notice, in pieces if `piece_ms` says so. The order of the notices is kept."""
        if self.closed:
            return
        self.outgoing.append(line)
        if not self.in_pieces:
            self.send_queued()

    def send_queued(self):
        while self.outgoing and not self.closed:
            line = self.outgoing.pop(0)
            pause = self.piece_ms()
            if pause == 0:
                self.transport.write(line)
                continue
            cut = random.randrange(1, len(line))
            self.transport.write(line[:cut])
            self.in_pieces = True
            asyncio.get_running_loop().call_later(pause / 1000, self.send_rest, line[cut:])
            return

    def send_rest(self, rest):
        self.in_pieces = False
        if not self.closed:
            self.transport.write(rest)
            self.send_queued()

    def replace(self):
        self.closed = True
        self.transport.close()

    def break_now(self, how):
        self.closed = True
        if how == "reset":
            self.transport.abort()
        else:
            self.transport.close()


class Announce:
    """The announce service: answers every report with 204 and knows what the server last said of itself."""

    def __init__(self, record):
        self.record = record
        self.last = None
        self.door = Door()

    async def listen(self):
        return await self.door.open(lambda: AnnounceConnection(self))


class AnnounceConnection(asyncio.Protocol):
    """One connection from the server to the announce service."""

    def __init__(self, announce):
        self.announce = announce
        self.buffer = b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, rest = self.buffer.split(b"\r\n\r\n", 1)
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            if len(rest) < length:
                return
            report, self.buffer = rest[:length], rest[length:]
            if report != self.announce.last:
                self.announce.last = report
                self.announce.record.line(f"REPORT  {report.decode()}")
            self.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")


class Balancer:
    """A balancer: keeps connections, one request at a time on each, and gives a request up after a time."""

    def __init__(self, platform, interpreter, address, number, tenant):
        self.platform = platform
        self.interpreter = interpreter
        self.address = address
        self.number = number
        self.tenant = tenant
        self.idle = []

    async def connection(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await self.open_connection()

    async def open_connection(self):
        host, port = self.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return reader, writer

    async def send(self, service, body, key=None, second_try=False, patience_s=8.0):
        """Sends one try of a request and returns it once it is answered, lost or given up."""
        record = self.platform.record
        request = Request("%016x" % random.getrandbits(64), service, key, body)
        try:
            reader, writer = await self.connection()
        except OSError as error:
            request.status = 0
            record.line(f"NO CONN {request.txn}: {error}")
            return request
        request.ingress = int(now() * 1000)
        fields = [
            f"POST /svc/{service} HTTP/1.1",
            "Host: backend.local",
            f"X-Txn: {request.txn}",
            f"X-Ingress-Time: {request.ingress}",
            f"X-Router: {self.number}",
            f"X-Working-Set-Kb: {request.kb}",
            "X-Shed-Order: 0.6250",
            f"Content-Length: {len(body)}",
        ]
        fields.extend(request.fields)
        if self.tenant is not None:
            fields.append(f"X-Merchant: {self.tenant}")
        if key is not None:
            fields.append(f"X-Txn-Key: {key}")
        if second_try:
            fields.append("X-Second-Try: 1")
        self.platform.add(request)
        record.line(f"SEND    {request.txn} {service} key {key}")
        message = ("\r\n".join(fields) + "\r\n\r\n").encode() + body
        keep = False
        for again in (False, True):
            writer.write(message)
            request.written = now()
            try:
                status, answer, keep = await asyncio.wait_for(read_answer(reader), patience_s)
                request.status, request.answer = status, answer
                record.line(f"ANSWER  {request.txn} {status} after {(now() - request.written) * 1000:.1f} ms")
            except asyncio.TimeoutError:
                request.gone = True
                record.line(f"GIVE UP {request.txn} after {patience_s} s")
            except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
                crossed = not again and now() - request.written < 0.05
                if crossed:
                    # The request crossed the close of its connection: it is sent again on a new one, once.
                    writer.close()
                    try:
                        reader, writer = await self.open_connection()
                    except OSError as refused:
                        request.status = 0
                        record.line(f"NO CONN {request.txn}: {refused}")
                        break
                    record.line(f"AGAIN   {request.txn}: {error!r}")
                    continue
                request.lost = True
                request.gone = True
                record.line(f"LOST    {request.txn}: {error!r}")
            break
        self.interpreter.request_over(request)
        if keep:
            self.idle.append((reader, writer))
        else:
            writer.close()
        return request

    async def check(self):
        """Returns the status of a health check."""
        host, port = self.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /status/live HTTP/1.1\r\nHost: backend.local\r\n\r\n")
        status, _, _ = await asyncio.wait_for(read_answer(reader), 3)
        writer.close()
        return status


async def read_answer(reader):
    """Reads one answer: its status, its body and whether the connection stays open."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    length, keep = 0, True
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        if name.lower() == "connection" and value.strip().lower() == "close":
            keep = False
    body = await reader.readexactly(length)
    return status, body, keep


class Server:
    """The server under test, started with the command `run` of the deploy file."""

    def __init__(self, config, record):
        self.folder = tempfile.mkdtemp(prefix="heathspur-review-")
        self.config = config
        self.record = record
        self.config_file = os.path.join(self.folder, "config.json")
        self.write_config()
        command = run_command()
        self.tmp = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmp)
        self.log = open(os.path.join(self.folder, "log"), "wb")
        environment = dict(
            os.environ,
            NODE_NAME=config["name"],
            NODE_LISTEN=config["listen"],
            NODE_CONFIG=self.config_file,
            TMPDIR=self.tmp,
        )
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        record.line(f"START   {command}")

    def write_config(self):
        """Replaces the configuration file at once, as a whole."""
        new = self.config_file + ".new"
        with open(new, "w") as file:
            json.dump(self.config, file)
        os.rename(new, self.config_file)

    def signal(self, number):
        self.record.line(f"SIGNAL  {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        with open(os.path.join(self.folder, "log"), errors="replace") as log:
            for line in log.read().splitlines()[-400:]:
                self.record.line(f"LOG     {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_command():
    """Reads `run` from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return json.loads(value.strip())
    raise SystemExit(2)


async def wait_ready(balancer, announce, seconds=20):
    """Waits until the server answers a health check with 200 and reports that it is ready."""
    end = now() + seconds
    while now() < end:
        try:
            if await balancer.check() == 200 and announce.last == b'{"accepting":"true"}':
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise RuntimeError("the server did not become ready")


async def limited(case):
    """A case may take 120 s; one that takes longer could not run."""
    return await asyncio.wait_for(case, 115)


def run_case(main, record_file):
    """Runs a case and ends the process with its verdict: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    What was sent, answered and run goes to `record_file`.
    """
    record = Record(record_file)
    # Ends the case, and with it the server, when the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(limited(main(record)))
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    record.line(f"exit {code}")
    record.close()
    sys.exit(code)


class Store:
    """The store: a proxy that hands each call to a server of the next tier, which answers it after some time.

    `trouble` draws what goes wrong with a call that has run: None, "reset" (in place of the reply), "silent", "noise",
    "huge", "copy" (a second copy of the reply), "ahead" (a reply under an unknown id first), "busy" or "err".
    """

    def __init__(self, interpreter, work_ms, trouble=lambda: None):
        self.interpreter = interpreter
        self.record = interpreter.record
        self.work_ms = work_ms
        self.trouble = trouble
        self.served = {}  # (id, body of the call) -> what became of each call that was accepted
        self.faults = []
        self.door = Door()

    async def listen(self):
        return await self.door.open(lambda: StoreConnection(self))

    effects = frozenset()  # the classes whose calls must not be made twice

    def reply_body(self, call_body):
        return b"reply to " + call_body


class StoreConnection(asyncio.Protocol):
    """One connection from the server to the store."""

    def __init__(self, store):
        self.store = store
        self.buffer = b""
        self.calls = {}
        self.useless = False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, error):
        for txn, (timer, body) in self.calls.items():
            timer.cancel()
            self.store.record.line(f"CALL    {txn} {body.decode()!r}: given up")
        self.calls.clear()

    def data_received(self, data):
        self.buffer += data
        while b"\r\n" in self.buffer:
            line, rest = self.buffer.split(b"\r\n", 1)
            words = line.decode().split(" ")
            if words[0] == "DROP":
                self.buffer = rest
                self.drop(words[1])
                continue
            _, txn, timeout_ms, length = words
            if len(rest) < int(length) + 2:
                return
            body, self.buffer = rest[: int(length)], rest[int(length) + 2 :]
            self.call(txn, int(timeout_ms), body)

    def drop(self, txn):
        if txn in self.calls:
            self.calls.pop(txn)[0].cancel()

    def call(self, txn, timeout_ms, body):
        store = self.store
        run = store.interpreter.runs.get(txn)
        if run is None or run.state != "waiting" or run.call_body != body:
            store.record.line(f"CALL    {txn} {body.decode()!r}: no run waits for it, VOID")
            self.transport.write(f"{txn} VOID\r\n".encode())
            return
        trouble = store.trouble()
        if trouble == "busy":
            store.record.line(f"CALL    {txn} {body.decode()!r}: BUSY")
            self.transport.write(f"{txn} BUSY\r\n".encode())
            return
        earlier = store.served.setdefault((txn, body), [])
        request = run.request
        if earlier and request.service in store.effects:
            store.faults.append(f"CALL TWICE: {txn} {body.decode()!r}, earlier {earlier}")
        earlier.append("accepted")
        store.record.line(f"CALL    {txn} {body.decode()!r} accepted, {trouble or 'no trouble'}")
        self.drop(txn)
        work = store.work_ms()
        loop = asyncio.get_running_loop()
        if trouble == "silent":
            return
        if work > timeout_ms:
            timer = loop.call_later(timeout_ms / 1000, self.late, txn)
        else:
            timer = loop.call_later(work / 1000, self.reply, txn, body, trouble)
        self.calls[txn] = (timer, body)

    def late(self, txn):
        self.calls.pop(txn, None)
        self.transport.write(f"{txn} LATE\r\n".encode())

    def reply(self, txn, body, trouble):
        self.calls.pop(txn, None)
        if self.useless or self.transport.is_closing():
            return
        reply = self.store.reply_body(body)
        whole = f"{txn} OK {len(reply)}\r\n".encode() + reply + b"\r\n"
        if trouble == "reset":
            self.transport.abort()
        elif trouble == "err":
            self.transport.write(f"{txn} ERR\r\n".encode())
        elif trouble == "noise":
            self.useless = True
            self.transport.write(bytes(random.randrange(256) for _ in range(80)) + b"\r\n")
        elif trouble == "huge":
            self.useless = True
            self.transport.write(f"{txn} OK 3000000000\r\n".encode() + b"x" * 20000)
        elif trouble == "copy":
            self.transport.write(whole + whole)
        elif trouble == "ahead":
            self.transport.write(b"00000000000000aa OK 5\r\nwrong\r\n" + whole)
        else:
            self.transport.write(whole)

"""Stand-ins for the cases 6 to 10: platform, interpreter, store, announce service, network, HTTP/1.1 and HTTP/2 clients.

All of them run in the process of the case's script, on loopback addresses and the real clock. They follow the
protocol page; where it is silent they behave like a sound platform or client. `Record` writes `record.txt`.
"""

import asyncio
import base64
import collections
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # it warns of writes to ended connections
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def now_ms():
    return time.time() * 1000.0


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """The file record.txt: what was sent, answered and run, a line each, with the time in ms since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.time()

    def __call__(self, text):
        self.file.write("%10.1f  %s\n" % ((time.time() - self.start) * 1000.0, text))

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------------------------------------
# The platform: configuration, server process


def settings(classes=None, tenants=("acme",), **family):
    """Settings of a small deployment. `classes` are tuples of name, effect, aim, give-up, window and calls."""
    classes = classes or [
        ("look-up", "read_like", 2.0, 5.0, 5.0, False),
        ("pay", "idempotency_key", 2.0, 6.0, 20.0, True),
    ]
    info = {
        "n-cores": 4, "mem-limit-kb": 200000.0, "run-factor": 4.0, "key-kb": 20.0, "halt": "pause",
        "cancel-seen": True, "readiness": True, "depends-on": "tier", "calls-by-class": [c[5] for c in classes],
        "class-skip-worth": [0.0 for _ in classes], "say": "none", "deep-checks": False, "fresh-s": 0.0,
        "idle-s": 30.0, "upstreams": 1, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
    }
    info.update(family)
    return {
        "services": [
            {"name": name, "effect": effect, "gain": 4.0 if effect != "read_like" else 1.0, "slo-s": aim,
             "give-up-s": give_up, "late-worth": 0.2, "dedup-window-s": window}
            for name, effect, aim, give_up, window, _ in classes
        ],
        "servers": 1,
        "realms": [{"name": name, "portion": 1.0 / len(tenants), "quota-per-s": 5000.0} for name in tenants],
        "over-share-worth": 0.05, "worth-by": "request",
        "caps": {"retry-after": True, "max-retry-after-s": 1.0},
        "goal": {"whole": 0.55, "worst-class": 0.15, "worst-tenant": 0.15, "worst-window": 0.15},
        "family-info": info,
        "guarantees": {"fall-multiple": 5.0, "fall-s": 3.0, "grace-to-answer-s": 0.06, "drain-grace-s": 2.5,
                       "start-capacity": 0.21, "warm-up-s": 10.0},
        "tick-s": 0.002,
    }


class Server:
    """One heathspurd, started by the `run` command of the deploy file."""

    def __init__(self, record, vm, announce, store, name="n1", stop_ms=3200, http2=False, operator="", **family):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="heathspur-case-")
        self.port = free_port()
        self.http2 = http2
        self.stop_ms = stop_ms
        classes = family.pop("classes", None)
        tenants = family.pop("tenants", ("acme",))
        limits = family.pop("limits", {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        self.config = {
            "name": name, "listen": "127.0.0.1:%d" % self.port, "vm": "127.0.0.1:%d" % vm,
            "announce": "127.0.0.1:%d" % announce, "store": "127.0.0.1:%d" % store,
            "seed": "%016x" % random.getrandbits(64), "stop_ms": stop_ms, "limits": limits,
            "settings": settings(classes, tenants, **family),
        }
        self.operator = operator
        self.process = None
        self.write_config()

    def write_config(self):
        self.path = os.path.join(self.folder, "config.json")
        with open(self.path + ".new", "w") as f:
            json.dump(self.config, f)
        os.rename(self.path + ".new", self.path)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = next(line for line in f if line.startswith("run"))
        command = run.split('"')[1]
        operator = self.operator
        if self.http2:
            self.http2_port = free_port()
            operator += '<http2 listen="127.0.0.1:%d"/>' % self.http2_port
        if operator:
            path = os.path.join(self.folder, "operator.xml")
            with open(path, "w") as f:
                f.write('<operator xmlns="urn:heathspur:operator:1">%s</operator>\n' % operator)
            command += " serve --operator " + path
        environment = dict(os.environ, NODE_NAME=self.config["name"], NODE_LISTEN=self.config["listen"],
                           NODE_CONFIG=self.path, TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "log"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)
        self.record("platform: started the server, process %d" % self.process.pid)

    def signal(self, number):
        self.record("platform: %s to the server" % signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self, seconds=10):
        """Waits until a health check is answered with 200. Returns whether it was."""
        end = time.time() + seconds
        while time.time() < end:
            if self.process.poll() is not None:
                if "in use" not in self.log_text():
                    return False
                # Another program of this machine has taken the port since it was chosen.
                self.port = free_port()
                self.config["listen"] = "127.0.0.1:%d" % self.port
                self.write_config()
                self.start()
            try:
                client = Http1(self.port)
                await client.open()
                status, _, _ = await asyncio.wait_for(client.request("GET", "/status/live", {}, b""), 1)
                client.close()
                if status == 200:
                    self.record("platform: the server is ready")
                    return True
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_text(self):
        self.log.flush()
        with open(self.log.name) as f:
            return f.read()


# ---------------------------------------------------------------------------------------------------------------------
# Requests as the platform knows them


class Request:
    """One try of a request. It is open from the write of its last byte until its answer, or until it is given up."""

    def __init__(self, kind, body, key=None, tenant="acme", kb=24.5, second=False, headers=None):
        self.txn = "%016x" % random.getrandbits(64)
        self.kind, self.body, self.key, self.tenant, self.kb, self.second = kind, body, key, tenant, kb, second
        self.extra = headers or {}
        self.ingress = None
        self.sent_at = None
        self.answer = None
        self.over = False

    def headers(self):
        self.ingress = int(now_ms())
        fields = {
            "X-Txn": self.txn, "X-Ingress-Time": str(self.ingress), "X-Router": "1",
            "X-Working-Set-Kb": "%.1f" % self.kb, "X-Shed-Order": "0.5",
        }
        if self.tenant:
            fields["X-Merchant"] = self.tenant
        if self.key:
            fields["X-Txn-Key"] = self.key
        if self.second:
            fields["X-Second-Try"] = "1"
        fields.update(self.extra)
        return fields

    def path(self):
        return "/svc/" + self.kind


def new_key():
    return "%032x" % random.getrandbits(128)


# ---------------------------------------------------------------------------------------------------------------------
# The interpreter


class Interpreter:
    """The interpreter. `work(request)` gives the seconds of a run, and `calls(request)` its number of calls."""

    def __init__(self, record, requests, work=lambda request: 0.05, calls=lambda request: 0):
        self.record, self.requests, self.work, self.calls = record, requests, work, calls
        self.notices = collections.deque(maxlen=4000)
        self.next_index = 1
        self.writer = None
        self.started = time.time()
        self.runs = {}
        self.run_starts = collections.defaultdict(list)
        self.results = {}
        self.servers = []
        self.links = 0
        self.result_size = 0

    async def listen(self):
        server = await asyncio.start_server(self.link, "127.0.0.1", 0, limit=1 << 20)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def send(self, message):
        if self.writer is not None:
            self.writer.write((json.dumps(message) + "\n").encode())

    def notice(self, message):
        message = dict(message, index=self.next_index)
        self.next_index += 1
        self.notices.append(message)
        self.send(message)

    async def link(self, reader, writer):
        self.links += 1
        number = self.links
        previous, self.writer = self.writer, None
        if previous is not None:
            previous.transport.abort()
        connected = False
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    break
                command = json.loads(line)
                if command["verb"] == "CONNECT":
                    if number != self.links:
                        break
                    self.writer = writer
                    connected = True
                    self.record("interpreter: link %d resumes after notice %d" % (number, command["index"]))
                    self.send({"verb": "BANNER", "outcome": "hot",
                               "spent": int((time.time() - self.started) * 1000)})
                    for notice in list(self.notices):
                        if notice["index"] > command["index"]:
                            self.send(notice)
                elif connected:
                    self.command(command)
        except (OSError, EOFError):
            pass
        finally:
            if self.writer is writer:
                self.writer = None
            writer.close()

    def command(self, command):
        verb, task = command["verb"], command.get("task")
        if verb == "TOP":
            running = sum(1 for run in self.runs.values() if run["state"] == "running")
            self.send({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.5, running, 0.1, 10]})
            return
        request = self.requests.get(task)
        run = self.runs.get(task)
        if request is None or verb == "APPLY" and (
                command["handler"] != request.kind or base64.b64decode(command["bytes"]) != request.body):
            self.record("interpreter: ERROR for %s of %s" % (verb, task))
            self.send({"verb": "ERROR", "outcome": verb, "task": task})
            return
        if verb == "APPLY":
            if run is not None:
                return
            if request.over:
                self.value(task, "unknown")
                return
            self.run_starts[task].append(now_ms())
            self.record("interpreter: run of %s %s begins" % (request.kind, task))
            self.runs[task] = {"state": "running", "left": self.calls(request), "since": time.time()}
            self.runs[task]["job"] = asyncio.ensure_future(self.execute(task, request))
        elif run is None:
            return
        elif verb == "BREAK":
            if run["state"] == "running":
                run["job"].cancel()
                self.end(task, "cancelled")
        elif verb in ("RESOLVE", "STUB"):
            if run["state"] == "awaiting" and (verb == "RESOLVE" or command["index"] == run["index"]):
                run["state"] = "running"
                self.record("interpreter: %s for %s" % (verb, task))
                run["reply"] = base64.b64decode(command.get("bytes", ""))
                run["resolved"].set()

    async def execute(self, task, request):
        run = self.runs[task]
        seconds = self.work(request)
        await asyncio.sleep(seconds / 2 if run["left"] else seconds)
        while run["left"]:
            run["left"] -= 1
            if request.over:
                self.end(task, "cancelled")
                return
            run["state"], run["resolved"], run["index"] = "awaiting", asyncio.Event(), self.next_index
            run["body"] = ("call %d of " % run["left"]).encode() + task.encode()
            self.notice({"verb": "AWAIT", "task": task, "bytes": base64.b64encode(run["body"]).decode()})
            while not run["resolved"].is_set():
                try:
                    await asyncio.wait_for(run["resolved"].wait(), 0.02)
                except asyncio.TimeoutError:
                    if request.over:
                        self.end(task, "cancelled")
                        return
            await asyncio.sleep(seconds / 2)
        self.end(task, "complete")

    def end(self, task, outcome):
        self.runs.pop(task, None)
        self.value(task, outcome)

    def value(self, task, outcome):
        request = self.requests[task]
        message = {"verb": "VALUE", "task": task, "outcome": outcome, "spent": 1}
        if outcome == "complete":
            result = b"result of " + task.encode() + b" " + request.body[:32]
            result += b"." * (self.result_size - len(result))
            self.results[task] = result
            message["bytes"] = base64.b64encode(result).decode()
        self.record("interpreter: run of %s %s ends: %s" % (request.kind, task, outcome))
        self.notice(message)

    def waits(self, task):
        run = self.runs.get(task)
        return run is not None and run["state"] == "awaiting"


# ---------------------------------------------------------------------------------------------------------------------
# The store and the announce service


class Store:
    """The store: carries a call out if a run waits for it. `seconds()` is the time of a call."""

    def __init__(self, record, interpreter, seconds=lambda: 0.01):
        self.record, self.interpreter, self.seconds = record, interpreter, seconds
        self.carried_out = collections.Counter()

    async def listen(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def connection(self, reader, writer):
        jobs = {}
        try:
            while True:
                words = (await reader.readline()).split()
                if len(words) == 4 and words[0] == b"CALL":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    job = asyncio.ensure_future(self.call(writer, words[1].decode(), body))
                    jobs[words[1]] = job
                elif len(words) == 2 and words[0] == b"DROP":
                    if words[1] in jobs:
                        jobs.pop(words[1]).cancel()
                else:
                    break
        except (OSError, EOFError):
            pass
        finally:
            for job in jobs.values():
                job.cancel()
            writer.close()

    async def call(self, writer, task, body):
        if not self.interpreter.waits(task):
            self.record("store: VOID for %s" % task)
            writer.write(b"%s VOID\r\n" % task.encode())
            return
        self.carried_out[(task, body)] += 1
        self.record("store: call of %s: %s" % (task, body.decode("latin1")))
        await asyncio.sleep(self.seconds())
        reply = b"reply to " + body
        writer.write(b"%s OK %d\r\n%s\r\n" % (task.encode(), len(reply), reply))


class Announce:
    """The announce service: takes every report."""

    def __init__(self, record):
        self.record = record
        self.last = None

    async def listen(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def connection(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n")
                               if line.lower().startswith(b"content-length:")), 0)
                body = await reader.readexactly(length)
                if body != self.last:
                    self.record("announce: %s" % body.decode("latin1"))
                    self.last = body
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------------------------------
# An HTTP/1.1 client, with one request at a time on a connection


class Http1:
    def __init__(self, port):
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def write(self, method, path, fields, body):
        head = "%s %s HTTP/1.1\r\nHost: backend.local\r\n" % (method, path)
        head += "".join("%s: %s\r\n" % field for field in fields.items())
        if method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        self.writer.write(head.encode() + b"\r\n" + body)

    async def request(self, method, path, fields, body):
        """Returns status, fields and body of the answer. Raises an error if the connection ends without one."""
        self.write(method, path, fields, body)
        return await self.answer()

    async def answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        status = int(head[0].split()[1])
        fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if ":" in line}
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        return status, fields, body

    def close(self):
        self.writer.close()

    def reset(self):
        self.writer.transport.abort()


# ---------------------------------------------------------------------------------------------------------------------
# An HTTP/2 client with prior knowledge (RFC 9113). It needs no more of HPACK than literals and the status.

DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
END_STREAM, ACK, END_HEADERS = 1, 1, 4
CANCEL = 8
STATIC_STATUS = {8: 200, 9: 204, 10: 206, 11: 304, 12: 400, 13: 404, 14: 500}
HUFFMAN_DIGITS = {"00000": "0", "00001": "1", "00010": "2", "011001": "3", "011010": "4", "011011": "5",
                  "011100": "6", "011101": "7", "011110": "8", "011111": "9"}


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def hpack_string(text):
    data = text.encode() if isinstance(text, str) else text
    length = len(data)
    if length < 127:
        return bytes([length]) + data
    out, rest = [127], length - 127
    while rest >= 128:
        out.append(rest % 128 + 128)
        rest //= 128
    out.append(rest)
    return bytes(out) + data


def hpack(fields):
    """Literal fields without indexing."""
    return b"".join(b"\x00" + hpack_string(name) + hpack_string(value) for name, value in fields)


def status_of(block):
    """The status at the front of a response's header block."""
    position = 0
    while block[position] & 0xE0 == 0x20:  # a change of the table's size
        more = block[position] & 0x1F == 0x1F
        position += 1
        while more:
            more = block[position] & 0x80 != 0
            position += 1
    first = block[position]
    if first & 0x80:
        return STATIC_STATUS[first & 0x7F]
    length = block[position + 1]
    data = block[position + 2:position + 2 + (length & 0x7F)]
    if not length & 0x80:
        return int(data)
    bits, text, code = "".join("{:08b}".format(byte) for byte in data), "", ""
    for bit in bits:
        code += bit
        if code in HUFFMAN_DIGITS:
            text, code = text + HUFFMAN_DIGITS[code], ""
    return int(text)


class Http2Stream:
    def __init__(self):
        self.status, self.body = None, b""
        self.end = asyncio.get_event_loop().create_future()  # "answered", "reset N" or "lost: ..."

    def finish(self, how):
        if not self.end.done():
            self.end.set_result(how)


class Http2:
    """One connection. `end` of a stream says how it ended.

    With `large_windows` the client grants windows that are never used up. Otherwise they have their initial 65,535
    bytes, and the client grants again what it has read.
    """

    def __init__(self, port, large_windows=True):
        self.port, self.large_windows = port, large_windows
        self.next_stream = 1
        self.streams = {}
        self.goaway = None
        self.max_streams = 100
        self.closed = False

    async def open(self, first=b"", settle=True):
        """Connects. `first` follows the preface at once; with `settle` the server's settings are awaited."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # No dynamic table (1), no push (2), the window of each stream (4).
        window = 1 << 20 if self.large_windows else 65535
        opening = frame(SETTINGS, 0, 0, struct.pack(">HIHIHI", 1, 0, 2, 0, 4, window))
        if self.large_windows:
            opening += frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", 1 << 28))
        self.writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + opening + first)
        self.settled = asyncio.get_event_loop().create_future()
        self.job = asyncio.ensure_future(self.read())
        if settle:
            await asyncio.wait_for(self.settled, 5)

    def request_frames(self, request, pieces=None):
        """Returns the stream's number and its frames, and registers the stream."""
        number, self.next_stream = self.next_stream, self.next_stream + 2
        stream = self.streams[number] = Http2Stream()
        fields = [(":method", "POST"), (":scheme", "http"), (":path", request.path()), (":authority", "backend.local")]
        fields += [(name.lower(), value) for name, value in request.headers().items()]
        fields.append(("content-length", str(len(request.body))))
        frames = [frame(HEADERS, END_HEADERS, number, hpack(fields))]
        size = pieces or max(len(request.body), 1)
        parts = [request.body[at:at + size] for at in range(0, len(request.body), size)] or [b""]
        for part in parts[:-1]:
            frames.append(frame(DATA, 0, number, part))
        frames.append(frame(DATA, END_STREAM, number, parts[-1]))
        return number, stream, frames

    def cancel_frame(self, number):
        self.streams[number].finish("cancelled")
        return frame(RST_STREAM, 0, number, struct.pack(">I", CANCEL))

    async def read(self):
        why = "lost: the connection ended"
        try:
            while True:
                head = await self.reader.readexactly(9)
                length, kind, flags = int.from_bytes(head[:3], "big"), head[3], head[4]
                number = int.from_bytes(head[5:], "big") & 0x7FFFFFFF
                payload = await self.reader.readexactly(length)
                self.on_frame(kind, flags, number, payload)
        except (OSError, EOFError) as error:
            why += " (%s)" % type(error).__name__
        finally:
            self.closed = True
            if not self.settled.done():
                self.settled.set_result(None)
            for stream in self.streams.values():
                stream.finish(why)
            self.writer.close()

    def on_frame(self, kind, flags, number, payload):
        stream = self.streams.get(number)
        if kind == SETTINGS and not flags & ACK:
            for at in range(0, len(payload), 6):
                name, value = struct.unpack(">HI", payload[at:at + 6])
                if name == 3:
                    self.max_streams = value
            self.writer.write(frame(SETTINGS, ACK, 0))
            if not self.settled.done():
                self.settled.set_result(None)
        elif kind == PING and not flags & ACK:
            self.writer.write(frame(PING, ACK, 0, payload))
        elif kind == GOAWAY:
            last, code = struct.unpack(">II", payload[:8])
            self.goaway = (last & 0x7FFFFFFF, code, payload[8:].decode("latin1"))
        elif kind == HEADERS and stream:
            stream.status = status_of(payload)
            if flags & END_STREAM:
                stream.finish("answered")
        elif kind == DATA and stream:
            stream.body += payload
            if payload and not self.large_windows:
                granted = struct.pack(">I", len(payload))
                self.writer.write(frame(WINDOW_UPDATE, 0, 0, granted))
                if not flags & END_STREAM:
                    self.writer.write(frame(WINDOW_UPDATE, 0, number, granted))
            if flags & END_STREAM:
                stream.finish("answered")
        elif kind == RST_STREAM and stream:
            stream.finish("reset %d" % struct.unpack(">I", payload)[0])

    def close(self):
        self.job.cancel()
        self.writer.close()


# ---------------------------------------------------------------------------------------------------------------------
# A balancer with one HTTP/2 connection at a time, and the frame of a case


class Proxy:
    """The network between balancers and a server. While it is cut, no byte passes; later all of them do, in order."""

    def __init__(self, record, target):
        self.record, self.target = record, target
        self.passes = asyncio.Event()
        self.passes.set()

    async def listen(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def cut(self):
        self.record("network: cut between the balancer and the server")
        self.passes.clear()

    def heal(self):
        self.record("network: passes again")
        self.passes.set()

    async def connection(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.forward(reader, server_writer), self.forward(server_reader, writer))

    async def forward(self, reader, writer):
        try:
            while True:
                data = await reader.read(16384)
                await self.passes.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Balancer2:
    """Sends requests over one HTTP/2 connection, and opens a new one when that has ended.

    `outcomes` has a line for each request that was written whole: "answered", "gone" (the balancer stopped waiting and
    reset the stream), "refused" (reset as not processed) or "lost".
    """

    def __init__(self, record, requests, port, large_windows=True):
        self.record, self.requests, self.port, self.large_windows = record, requests, port, large_windows
        self.client = None
        self.outcomes = collections.Counter()
        self.lost = []
        self.waiting = []
        self.unflushed = []

    async def connection(self):
        if self.client is None or self.client.closed or self.client.goaway:
            self.client = Http2(self.port, self.large_windows)
            self.unflushed = []
            await self.client.open()
            self.record("balancer: a new connection")
        return self.client

    async def send(self, request, patience=None, pieces=None, flush=True):
        """Writes a request. After `patience` seconds the balancer stops waiting; with 0 it drops the request at once.

        Without `flush` the request stays in the balancer's buffer until the next one with it."""
        client = await self.connection()
        if sum(1 for s in client.streams.values() if not s.end.done()) >= client.max_streams:
            return False
        number, stream, frames = client.request_frames(request, pieces)
        self.requests[request.txn] = request
        request.sent_at = now_ms()
        self.outcomes["sent"] += 1
        if patience == 0:
            frames.append(client.cancel_frame(number))
            request.over = True
            self.outcomes["gone"] += 1
            self.record("balancer: sent %s %s and dropped it at once" % (request.kind, request.txn))
        self.unflushed += frames
        if flush:
            client.writer.write(b"".join(self.unflushed))
            self.unflushed = []
        if patience != 0:
            self.record("balancer: sent %s %s" % (request.kind, request.txn))
            self.waiting.append(asyncio.ensure_future(self.wait(client, number, stream, request, patience)))
        return True

    async def wait(self, client, number, stream, request, patience):
        try:
            end = await asyncio.wait_for(asyncio.shield(stream.end), patience)
        except asyncio.TimeoutError:
            end = "gone"
            if not client.closed:
                client.writer.write(client.cancel_frame(number))
        request.over = True
        if end == "reset 7":
            end = "refused"
        elif end.startswith("reset") or end.startswith("lost"):
            reason = " after GOAWAY with error %d %s" % client.goaway[1:] if client.goaway else ""
            self.lost.append(request)
            self.record("balancer: LOST %s %s: %s%s" % (request.kind, request.txn, end, reason))
            end = "lost"
        else:
            self.record("balancer: %s %s: %s %s" % (request.kind, request.txn, end, stream.status or ""))
        request.answer = (end, stream.status, stream.body)
        self.outcomes[end] += 1

    async def finish(self):
        if self.waiting:
            await asyncio.wait(self.waiting, timeout=15)


def run_case(record_file, case, limit=110):
    """Runs a case, writes its record, and exits with 0 (the rule held), 1 (it was broken) or 2 (the case couldn't run).

    `case(record, trouble, servers)` returns a list of what broke the rule; it puts each server it starts into `servers`.
    """
    record = Record(record_file)
    signal.signal(signal.SIGTERM, signal.default_int_handler)   # so that the servers are ended then too
    trouble = os.environ.get("TROUBLE", "1") != "0"
    servers, broken, code = [], [], 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble, servers), limit))
        code = 1 if broken else 0
    except (Exception, KeyboardInterrupt) as error:  # the case could not run to its end
        record("the case could not run: %s: %s" % (type(error).__name__, error))
        print("the case could not run: %s: %s" % (type(error).__name__, error))
    finally:
        for server in servers:
            server.stop()
            record("log of the server:\n" + server.log_text())
            shutil.rmtree(server.folder, ignore_errors=True)
    for line in broken:
        record("BROKEN " + line)
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "not run"}[code]
    record("verdict (trouble %s): %s" % ("on" if trouble else "off", verdict))
    record.close()
    print("%s: %s" % (verdict, "; ".join(broken[:3])))
    sys.stdout.flush()
    os._exit(code)  # no clean-up of open sockets after the end of the event loop


def share(lost, sent):
    return "%d of %d requests (%.1f in 1,000; the pages allow 3)" % (lost, sent, 1000.0 * lost / max(sent, 1))

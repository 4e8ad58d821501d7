"""Stand-ins for the review's scripts: the platform's store, workers and clients
in this process, and the project's gateways as separate processes.

All addresses are loopback addresses. The stand-ins follow the users' pages:
HTTP/1.1, the log of the store, registrations with heartbeats, the workers'
answers with X-Attempt-Id and X-Response-Signature.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "hyssoprail-gateway")
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
START = time.monotonic()

# The bounds of a small deployment (the sheet of tayyara-hq).
BOUNDS = {
    "stop_grace_s": 8,
    "retry_ratio": 0.2,
    "retry_slack": 58,
    "retry_window_s": 10,
    "quota_overage": 0.1,
    "quota_slack_tokens": 140000,
    "cold_overage": 1.5,
    "cold_slack": 5,
}
STABLE_WINDOW_S = 3.0
SCRIPT_LIMIT_S = 110
DRAIN_S = 2.0
KEY = "n2ctnfzs989anu6wsjnb"
RATE = 58625

# The configuration of a small deployment, in the form of the users' example.
ENGINE = {
    "slots": 64, "kv_tokens": 39418, "kv_token_bytes": 327680,
    "link_mbps": 2700000.0, "moves": True, "backups": True, "stride": 16,
    "most": 12, "handle_retention_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0,
    "hold_ms": 2000.0, "models": [{"name": "m"}],
}


def route(name, prefix, kind, service, attempts, timeout_ms, target_ms, **more):
    return {
        "name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1,
        "service": service, "max_attempts": attempts, "allow_anonymous": False,
        **more,
    }


def configuration(version=1):
    stream = {"sticky_sessions": True, "gap_aim_ms": 300}
    return {
        "version": version,
        "routes": [
            route("summary", "/g/", "stream", "assistant", 2, 14000, 900,
                  resumable=True, **stream),
            route("compare", "/n/", "stream", "assistant", 1, 14000, 900,
                  resumable=False, **stream),
            route("order", "/o/", "unsafe", "orders", 1, 1000, 150),
            route("check", "/c/", "safe", "orders", 2, 1000, 150),
        ],
        "services": [
            {"name": "assistant", "health_check": "/health", "max_connections": 370,
             "protocol": "h1", "tls": False, "cold_start_s": 3.0, "cold_per_s": 17.0,
             "engine": ENGINE},
            {"name": "orders", "health_check": "/health", "max_connections": 110,
             "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "unit": "token_stream",
                     "plain_tokens": 200, "rate_per_s": RATE, "burst": RATE}],
    }


class CannotRun(Exception):
    """The case could not run; says nothing of the project."""


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now(), text))
        self.file.flush()

    def close(self):
        self.file.close()


def free_port(kind=socket.SOCK_STREAM):
    """A free port below those that the kernel gives to outgoing connections, so
    that it is still free when its process starts again."""
    while True:
        port = random.randrange(20000, 30000)
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind((HOST, port))
                return port
            except OSError:
                pass


def free_udp_port():
    return free_port(socket.SOCK_DGRAM)


# ---- HTTP -------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body=b"", complete=True):
        self.first = first
        self.headers = headers  # list of (name, value)
        self.body = body
        self.complete = complete

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def read_request(reader):
    m = await read_head(reader)
    if m.get("Transfer-Encoding").lower() == "chunked":
        m.body = await read_chunks(reader)
    elif m.get("Content-Length"):
        m.body = await reader.readexactly(int(m.get("Content-Length")))
    return m


async def read_response(reader, on_data=None):
    """Reads a response. `complete` tells whether its end was seen."""
    m = await read_head(reader)
    if m.get("Transfer-Encoding").lower() == "chunked":
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return m
                m.body += data
                if on_data:
                    on_data(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            m.complete = False
    elif m.get("Content-Length"):
        try:
            m.body = await reader.readexactly(int(m.get("Content-Length")))
        except asyncio.IncompleteReadError as e:
            m.body = e.partial
            m.complete = False
    else:
        m.body = await reader.read()
    return m


def encode(first, headers, body=b"", length=True):
    lines = [first] + ["%s: %s" % h for h in headers]
    if length:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler, port=0):
    """Starts a server. The handler gets (reader, writer) of each connection."""

    async def guarded(reader, writer):
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:  # the script ends
            pass
        finally:
            try:
                writer.close()
            except ConnectionError:
                pass

    return await asyncio.start_server(guarded, HOST, port or free_port(), limit=1 << 22)


# ---- The platform's store ---------------------------------------------------


class Store:
    """The log of the platform: topics with one partition each."""

    KEYED = "keyed."
    OPERATOR_ONLY = ("keyed.op", "keyed.servers")

    def __init__(self):
        self.topics = {}
        self.groups = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await serve(self.serve_connection)
        self.port = self.server.sockets[0].getsockname()[1]

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        """The write of the operator or a worker; None drops the key."""
        content = bytes([len(key)]) + key.encode() + (value or "").encode()
        await self.append(topic, [content])

    async def append(self, topic, contents):
        async with self.changed:
            log = self.records(topic)
            offset = len(log)
            log.extend(contents)
            self.changed.notify_all()
            return offset, len(log)

    def newest(self, topic):
        out = {}
        for offset, content in enumerate(self.records(topic)):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                out[key] = (value, offset)
            else:
                out.pop(key, None)
        return out

    async def serve_connection(self, reader, writer):
        while True:
            m = await read_request(reader)
            url = urllib.parse.urlsplit(m.target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, kind, body = await self.answer(m.method, url.path, query, m.body)
            writer.write(
                encode("HTTP/1.1 %d x" % status, [("Content-Type", kind)], body)
            )
            await writer.drain()

    async def answer(self, method, path, query, body):
        def doc(status, value):
            return status, "application/json", json.dumps(value).encode()

        topic = query.get("topic", "")
        if path == "/-/log-append":
            if topic in self.OPERATOR_ONLY:
                return doc(403, {})
            if "at" in query and int(query["at"]) != len(self.records(topic)):
                return doc(412, {"end": len(self.records(topic))})
            contents = []
            while body:
                (size,) = struct.unpack(">I", body[:4])
                contents.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset, end = await self.append(topic, contents)
            return doc(200, {"offset": offset, "end": end})
        if path == "/-/log-newest":
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in sorted(self.newest(topic).items())
            ]
            return doc(
                200,
                {"items": items, "has_more": False, "end": len(self.records(topic))},
            )
        if path == "/-/log-read":
            start = int(query.get("from", 0))
            wait_s = int(query.get("wait_ms", 0)) / 1000
            log = self.records(topic)
            if len(log) <= start and wait_s > 0:
                async with self.changed:
                    try:
                        await asyncio.wait_for(
                            self.changed.wait_for(lambda: len(log) > start), wait_s
                        )
                    except asyncio.TimeoutError:
                        pass
            out = struct.pack(">QQ", len(log), 0)
            for content in log[start:]:
                out += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", out
        if path == "/-/log-join":
            return doc(200, self.join(json.loads(body)))
        if path == "/-/log-leave":
            call = json.loads(body)
            group = self.groups.setdefault(call["group"], Group())
            group.remove(call["member"])
            return doc(200, {})
        return doc(200, {})

    def join(self, call):
        group = self.groups.setdefault(call["group"], Group())
        return group.join(call["member"], call["topics"][0], call["ttl_ms"] / 1000)


class Group:
    """Members that share the one partition of a topic."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # name -> time at which it lapses
        self.owner = None

    def remove(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1
            if self.owner == member:
                self.owner = next(iter(self.members), None)

    def join(self, member, topic, ttl_s):
        for name in [n for n, end in self.members.items() if end < now()]:
            self.remove(name)
        if member not in self.members:
            self.generation += 1
        self.members[member] = now() + ttl_s
        self.owner = self.owner or member
        parts = [[topic, 0, 0]] if self.owner == member else []
        return {"generation": self.generation, "parts": parts}


# ---- Workers ----------------------------------------------------------------


class Worker:
    """A worker with its registration. Subclasses answer requests in `run`."""

    restarts = 0

    def __init__(self, store, record, name, service, zone="z-a", stage="", slots=6):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.stage = name, service, zone, stage
        self.slots = slots
        self.server = None
        self.port = 0
        self.sequence = 0
        self.state = "ready"
        self.writers = set()
        self.beat = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await serve(self.serve_connection, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self.heartbeats())
        self.record("worker %s starts" % self.name)

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        await self.store.put("keyed.servers", self.name, json.dumps(entry))

    async def heartbeats(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def stop_beat(self):
        if self.beat:
            self.beat.cancel()
            self.beat = None

    def crash(self, why=""):
        """The process ends: its connections break and it listens no more."""
        self.record("worker %s crashes %s" % (self.name, why))
        self.stop_beat()
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.writers):
            w.transport.abort()
        self.writers.clear()

    async def serve_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                m = await read_request(reader)
                if not await self.answer(m, reader, writer):
                    return
        finally:
            self.writers.discard(writer)

    async def refuse(self, m, writer, status, more=()):
        headers = [("X-Attempt-Id", m.get("X-Attempt-Id")), ("X-Not-Executed", "1")]
        body = json.dumps({"born": self.born}).encode()
        writer.write(
            encode(
                "HTTP/1.1 %d x" % status,
                headers + [("X-Instance-Id", self.name)] + list(more),
                body,
            )
        )
        await writer.drain()
        return True

    async def answer(self, m, reader, writer):
        expected = m.get("X-Expect-Instance")
        if expected and expected != self.name:
            return await self.refuse(m, writer, 421)
        return await self.run(m, reader, writer)

    def head(self, m, status=200, more=()):
        return [
            ("X-Attempt-Id", m.get("X-Attempt-Id")),
            ("X-Response-Signature", "%s.%s" % (self.name, m.get("X-Attempt-Id"))),
        ] + list(more)

    async def run(self, m, reader, writer):
        self.record(
            "worker %s runs %s (%s %s)"
            % (self.name, m.get("X-Attempt-Id"), m.method, m.target)
        )
        writer.write(encode("HTTP/1.1 200 OK", self.head(m), b"done"))
        await writer.drain()
        return True


class Engine(Worker):
    """A model worker: reads prompts, or streams events with ids from 1 on."""

    EVENTS = 12
    PAUSE_S = 0.03
    handles = 0

    async def run(self, m, reader, writer):
        if m.get("X-Stage") == "prefill":
            return await self.prefill(m, writer)
        return await self.stream(m, writer)

    async def prefill(self, m, writer):
        Engine.handles += 1
        handle = "%s-%d" % (self.name, Engine.handles)
        tokens = int(m.get("X-Token-Counts", "100,10").split(",")[0])
        body = {"cache_handle": handle, "tokens": tokens, "version": 1}
        writer.write(
            encode(
                "HTTP/1.1 200 OK",
                [("X-Attempt-Id", m.get("X-Attempt-Id"))],
                json.dumps(body).encode(),
            )
        )
        await writer.drain()
        return True

    async def answer(self, m, reader, writer):
        if m.method == "DELETE":
            writer.write(encode("HTTP/1.1 200 OK", [], b"{}"))
            await writer.drain()
            return True
        return await super().answer(m, reader, writer)

    def event(self, number, m):
        data = "id: %d\ndata: %s piece %d\n\n" % (number, m.get("X-Attempt-Id"), number)
        return data.encode()

    def chunk(self, data):
        return b"%x\r\n%s\r\n" % (len(data), data)

    async def begin_stream(self, m, writer, events=b""):
        headers = self.head(m, more=[("Content-Type", "text/event-stream"),
                                     ("X-Weight-Versions", "1")])
        headers.append(("Transfer-Encoding", "chunked"))
        first = self.chunk(events) if events else b""
        writer.write(encode("HTTP/1.1 200 OK", headers, length=False) + first)
        await writer.drain()

    async def stream(self, m, writer):
        self.record("worker %s runs %s" % (self.name, m.get("X-Attempt-Id")))
        await self.begin_stream(m, writer)
        first = int(m.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.EVENTS + 1):
            await asyncio.sleep(self.PAUSE_S)
            writer.write(self.chunk(self.event(number, m)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# ---- Gateways ---------------------------------------------------------------


class Gateway:
    """A gateway process with the settings that the template makes."""

    def __init__(self, folder, store_port, name, zone="z-a"):
        self.name = name
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.metrics_port = free_port()
        self.settings = {
            "name": name,
            "zone": zone,
            "caller_address": "%s:%d" % (HOST, self.caller_port),
            "ready_address": "%s:%d" % (HOST, self.ready_port),
            "peer_address": "%s:%d" % (HOST, free_udp_port()),
            "metrics_address": "%s:%d" % (HOST, self.metrics_port),
            "store": "%s:%d" % (HOST, store_port),
            "cpu_share": 0.19,
            "memory_mb": 110,
            "file_descriptors": 4100,
            "platform_features": [
                "base", "drain", "config", "cost", "retry", "recover", "split",
                "stream", "engine", "tenants", "quota", "places", "platform",
            ],
            "exposure_share": 0,
            "exposure_slack": 0,
            **BOUNDS,
        }
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(self.settings, f)
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [GATEWAY, "--settings=" + self.path],
            stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C"},
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def ready(self, limit_s=10):
        end = now() + limit_s
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun("%s ended at its start" % self.name)
            try:
                m = await Client(self.ready_port).send("GET", "/-/readiness", {}, b"", 1)
                if m and m.status == 200:
                    return
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("%s is not ready in time" % self.name)


# ---- Clients ----------------------------------------------------------------


class Client:
    """One connection to a gateway."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, self.port, limit=1 << 22), 1
        )

    async def send(self, method, target, headers, body, limit_s, on_data=None):
        """Returns the response; None if the connection ended without one."""
        try:
            if not self.writer:
                await self.connect()
            fields = [("Host", "shop.example")] + list(headers.items())
            self.writer.write(
                encode("%s %s HTTP/1.1" % (method, target), fields, body, bool(body))
            )
            await self.writer.drain()
            return await asyncio.wait_for(read_response(self.reader, on_data), limit_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    def close(self):
        if self.writer:
            self.writer.close()
            self.reader = self.writer = None


# ---- Scripts ----------------------------------------------------------------


def attempt_id():
    return "%016x" % random.getrandbits(64)


def headers(attempt, deadline_ms, **more):
    out = {"X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
           "Authorization": "Token " + KEY}
    out.update({name.replace("_", "-"): value for name, value in more.items()})
    return out


class Fleet:
    """A store with the configuration, workers and gateways."""

    def __init__(self, record, scratch):
        self.record, self.scratch = record, scratch
        self.store = Store()
        self.workers, self.gateways = [], []

    async def start(self, make_workers, gateways):
        await self.store.start()
        await self.store.put("keyed.op", "config", json.dumps(configuration()))
        self.workers = make_workers(self.store, self.record)
        for w in self.workers:
            await w.start()
        self.gateways = [
            Gateway(self.scratch, self.store.port, "front-%d" % (i + 1))
            for i in range(gateways)
        ]
        for g in self.gateways:
            g.start()
        for g in self.gateways:
            await g.ready()
        # All gateways are in touch a stable window after their start.
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)

    def end(self):
        for g in self.gateways:
            g.end()
        for w in self.workers:
            w.stop_beat()


async def run_until_signal(main):
    """Cancels the case on SIGTERM and SIGINT, so that it ends its processes."""
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, SCRIPT_LIMIT_S)


def run_script(main):
    """Runs `main(record, scratch, trouble)`, which returns the broken promises
    as texts. The arguments of the program are the path of record.txt and
    TROUBLE. Exits with 1 if there are broken promises, 0 if there are none, and
    2 if the case could not run, whatever the reason."""
    record = Record(sys.argv[1])
    trouble = sys.argv[2] != "0"
    code = 2
    try:
        if not os.access(GATEWAY, os.X_OK):
            raise CannotRun("build target/hyssoprail-gateway first")
        with tempfile.TemporaryDirectory() as scratch:
            broken = asyncio.run(run_until_signal(main(record, scratch, trouble)))
        for text in broken:
            record("BROKEN: " + text)
            print("BROKEN: " + text)
        if not broken:
            record("held")
            print("held")
        code = 1 if broken else 0
    except BaseException as e:  # an error of the script says nothing of the project
        record("cannot run: %r" % e)
        print("cannot run: %r" % e)
    finally:
        record.close()
    sys.exit(code)

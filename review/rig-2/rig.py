"""Stand-ins for the cases of review/REPORT-2.md: the platform's store, engines and
clients, as PROTOCOL.md describes them, and a launcher of entry VMs with the command and
the settings template of the deploy folder. Python's standard library only; every address
is on loopback.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be run; says nothing of the rule."""


class Record:
    """Writes record.txt: time in seconds since the start, who, what."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, who, what):
        at = time.monotonic() - STARTED
        self.file.write(f"{at:8.3f} {who:<12} {what}\n")
        self.file.flush()


def free_ports(count):
    """Distinct free ports, in ascending order."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((HOST, 0))
        return sorted(probe.getsockname()[1] for probe in probes)
    finally:
        for probe in probes:
            probe.close()


class Closed(Exception):
    """The connection ended."""


async def read_head(reader):
    """Returns the first line and the headers (names in lower case, as a list)."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed(repr(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name, default=None):
    for key, value in headers:
        if key == name:
            return value
    return default


async def read_body(reader, headers):
    """Body of a request, by its length or in chunks."""
    try:
        if "chunked" in (header(headers, "transfer-encoding") or "").lower():
            parts = []
            async for part in chunks(reader):
                parts.append(part)
            return b"".join(parts)
        return await reader.readexactly(int(header(headers, "content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed(repr(error)) from error


async def chunks(reader):
    """Chunks of a body; raises Closed if it ends early."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Closed(repr(error)) from error


class Server:
    """HTTP server on loopback; connections can be cut."""

    def __init__(self):
        self.port = None
        self.server = None
        self.writers = set()

    async def listen(self, handle, port=0):
        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                await handle(reader, writer)
            except (Closed, ConnectionError, OSError):
                pass
            finally:
                self.writers.discard(writer)
                with contextlib.suppress(Exception):
                    writer.close()

        self.server = await asyncio.start_server(serve, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]


class Store:
    """The platform's store: rows, conditional transactions and feeds. Each entry VM gets
    a port of its own, so that the store can turn single machines away."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}
        self.ports = {}
        self.down = set()
        self.cut = set()
        self.lost_writers = set()

    async def open(self, name):
        server = Server()

        async def handle(reader, writer):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if name in self.cut:
                    self.lost_writers.add(writer)
                await self.answer(name, method, target, body, writer)

        await server.listen(handle)
        self.ports[name] = server
        return server.port

    def turn_away(self, names):
        """From now on, these machines get 503, also on feeds that wait."""
        self.down |= set(names)
        self.record("store", f"turns away {' '.join(sorted(names))}")

    def serve_again(self, names):
        self.down -= set(names)
        self.record("store", f"serves again {' '.join(sorted(names))}")

    def silence(self, name):
        """The open connections of this machine go silent for good; new ones work."""
        self.lost_writers |= self.ports[name].writers
        self.record("store", f"open connections of {name} go silent")

    def cut_off(self, name):
        """This machine is partitioned from the store: nothing reaches it from now on."""
        self.cut.add(name)
        self.lost_writers |= self.ports[name].writers
        self.record("store", f"{name} is cut off")

    def reconnect(self, name):
        self.cut.discard(name)
        self.record("store", f"{name} is no longer cut off")

    async def answer(self, name, method, target, body, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        status, reply = 503, {}
        if name not in self.down:
            if url.path == "/rows-tx" and method == "POST":
                status, reply = await self.transact(name, json.loads(body))
            elif url.path == "/rows-get":
                status, reply = self.get(query)
            elif url.path == "/rows-feed":
                status, reply = await self.feed(name, query)
            elif url.path == "/rows-parts":
                parts = sorted({p for (t, p, _), row in self.rows.items()
                                if t == query.get("table") and row["value"] is not None})
                status, reply = 200, {"parts": parts, "has_more": False}
            else:
                status, reply = 404, {}
        if writer in self.lost_writers:
            # Nothing more comes on this connection, and nothing ends it.
            await asyncio.sleep(3600)
        reply["ver"] = self.version
        reply["now_ms"] = int(time.monotonic() * 1000)
        data = json.dumps(reply).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()

    @staticmethod
    def shown(key, row):
        table, part, name = key
        shown = {"table": table, "part": part, "key": name, "ver": row["ver"]}
        if row["value"] is None:
            shown["deleted"] = True
        else:
            shown["value"] = base64.b64encode(row["value"]).decode()
        return shown

    async def transact(self, name, call):
        def key(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        def current(entry):
            row = self.rows.get(key(entry))
            return row if row and row["value"] is not None else None

        expected = call.get("expected", [])
        for entry in expected:
            row = current(entry)
            if (row["ver"] if row else 0) != entry["ver"]:
                rows = [self.shown(key(e), current(e)) for e in expected if current(e)]
                return 412, {"rows": rows}
        self.version += 1
        for entry in call.get("writes", []):
            value = base64.b64decode(entry["value"])
            self.rows[key(entry)] = {"ver": self.version, "value": value}
            if entry["table"] == "budgets":
                text = value.decode("utf-8", "replace")
                self.record("store", f"{name} writes budgets/{entry['key']}: {text}")
        for entry in call.get("remove", []):
            self.rows[key(entry)] = {"ver": self.version, "value": None}
        return 200, {}

    async def put(self, table, key, value):
        """A write of the operator or of an engine."""
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self.rows[(table, "", key)] = {"ver": self.version, "value": data}

    def get(self, query):
        table, part = query.get("table"), query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", "500"))
        found = sorted(
            (key, row) for key, row in self.rows.items()
            if key[0] == table and key[1] == part and row["value"] is not None
            and key[2] >= low and (high is None or key[2] < high))
        shown = [self.shown(key, row) for key, row in found[:limit]]
        return 200, {"rows": shown, "has_more": len(found) > limit}

    async def feed(self, name, query):
        table, after = query.get("table"), int(query.get("after", "0"))
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            if name in self.down:
                return 503, {}
            found = sorted((row["ver"], key) for key, row in self.rows.items()
                           if key[0] == table and row["ver"] > after)
            left = end - time.monotonic()
            if found or left <= 0:
                shown = [self.shown(key, self.rows[key]) for _, key in found]
                return 200, {"rows": shown}
            await asyncio.sleep(min(left, 0.005))


class Engine:
    """A sound engine. `events` of a stream come every `pause_s`; a plain answer has
    `plain_bytes` bytes. Runs `slots` requests at once and queues `queue` more; what is
    beyond that gets 503 with Lagoonscale-Not-Executed. `lost_share`: part of the requests
    whose answer is lost after they ran; the connection is closed."""

    def __init__(self, record, name, service, zone, slots=12, queue=36, pause_s=0.003,
                 plain_bytes=800):
        self.record = record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.pause_s, self.plain_bytes = slots, pause_s, plain_bytes
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.lost_share = 0.0
        self.random = random.Random(name)
        self.lost = 0
        self.runs = []
        self.run_times = []
        self.server = Server()

    async def start(self, store):
        await self.server.listen(self.handle)
        self.entry = {
            "service": self.service, "address": f"{HOST}:{self.server.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
            "cold_remaining_ms": 0, "seq_num": 1, "born": int(time.time() * 1000)}
        await store.put("servers", self.name, self.entry)

    async def drain(self, store):
        """Reports `draining`, which the store acknowledges; the engine serves on."""
        self.entry = {**self.entry, "state": "draining", "seq_num": 2}
        await store.put("servers", self.name, self.entry)
        self.record(self.name, "reports draining, acknowledged")

    def lose_some(self, request_id):
        if self.random.random() < self.lost_share:
            self.lost += 1
            self.record(self.name, f"ran {request_id}, and its answer is lost")
            raise Closed("answer lost")

    def head(self, status, request_id, extra):
        lines = [f"HTTP/1.1 {status}", f"Lagoonscale-Request-Id: {request_id}",
                 f"Lagoonscale-Server-Stamp: {self.name}.{request_id}",
                 f"Lagoonscale-Server-Load: {self.running},{self.waiting},{self.slots}", *extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def handle(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, path, _ = line.split(" ")
            if path.startswith("/health"):
                writer.write(f"HTTP/1.1 200 OK\r\nLagoonscale-Instance-Id: {self.name}\r\n"
                             "Content-Length: 0\r\n\r\n".encode())
                await writer.drain()
                continue
            request_id = header(headers, "lagoonscale-request-id", "-")
            expected = header(headers, "lagoonscale-expect-instance")
            if expected not in (None, self.name):
                writer.write(self.head("421 Misdirected Request", request_id,
                                       ["Lagoonscale-Not-Executed: 1", "Content-Length: 0"]))
                await writer.drain()
                continue
            if self.running + self.waiting >= self.slots + self.queue:
                self.record(self.name, f"full, rejects {request_id}")
                writer.write(self.head("503 Service Unavailable", request_id,
                                       ["Lagoonscale-Not-Executed: 1", "Content-Length: 0"]))
                await writer.drain()
                continue
            self.waiting += 1
            try:
                await self.free.acquire()
            finally:
                self.waiting -= 1
            self.running += 1
            try:
                if reader.at_eof():
                    raise Closed("caller left while its request waited")
                self.runs.append(request_id)
                self.run_times.append((request_id, time.monotonic()))
                self.record(self.name, f"runs {request_id} {method} {path} body={len(body)}")
                await self.run(request_id, headers, writer)
            finally:
                self.running -= 1
                self.free.release()

    async def run(self, request_id, headers, writer):
        usage = header(headers, "lagoonscale-token-usage")
        if usage is None:
            await asyncio.sleep(0.02)
            data = (request_id.encode() + b".") * (self.plain_bytes // 17 + 1)
            data = data[:self.plain_bytes]
            self.lose_some(request_id)
            writer.write(self.head("200 OK", request_id,
                                   ["Content-Type: application/octet-stream",
                                    f"Content-Length: {len(data)}"]) + data)
            await writer.drain()
            self.record(self.name, f"answered {request_id} bytes={len(data)}")
            return
        events = int(usage.split(",")[1]) // TOKENS_PER_EVENT
        first = int(header(headers, "last-event-id", "0")) + 1
        writer.write(self.head("200 OK", request_id,
                               ["Content-Type: text/event-stream",
                                "Transfer-Encoding: chunked"]))
        for number in range(first, events + 1):
            await asyncio.sleep(self.pause_s)
            if number == events:
                self.lose_some(request_id)
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(self.name, f"answered {request_id} events={events}")


TOKENS_PER_EVENT = 12
MODELS, APP = "models", "desk"
DOMAIN = "ficu95.example"


def configuration(version=1, limits=None):
    """Configuration with one model route, one idempotent and one that may run once, with
    the figures of the small site."""
    return {
        "version": version,
        "routes": [
            {"name": "turns", "host": DOMAIN, "prefix": "/turns/", "kind": "streaming",
             "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
             "service": MODELS, "max_attempts": 1, "retain": False, "retention_s": 60.0,
             "sticky": True, "resumable": True, "gap_aim_ms": 150},
            {"name": "lookup", "host": DOMAIN, "prefix": "/lookup/", "kind": "idempotent",
             "timeout_ms": 3000, "target_latency_ms": 150, "priority": 2,
             "service": APP, "max_attempts": 2},
            {"name": "booking", "host": DOMAIN, "prefix": "/booking/",
             "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 500,
             "priority": 2, "service": APP, "max_attempts": 1},
        ],
        "services": [
            {"name": MODELS, "health_path": "/health", "max_connections": 150,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 12, "kv_cache_tokens": 174325, "kv_token_bytes": 163840,
                        "link_mbps": 1100000.0, "moves": True, "backups": True,
                        "tokens_per_event": TOKENS_PER_EVENT, "most": 12,
                        "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                        "models": [{"name": "m"}]}},
            {"name": APP, "health_path": "/health", "max_connections": 96,
             "protocol": "h1", "tls": False},
        ],
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


class EntryVm:
    """Entry VM, started with the command and the template of the deploy folder."""

    def __init__(self, rig, name, zone):
        self.rig, self.name, self.zone = rig, name, zone
        self.process = None
        self.front, self.ready, self.internal = free_ports(3)
        self.store_port = None

    def settings(self, bootstrap):
        values = {
            "node_name": self.name, "zone": self.zone,
            "bootstrap": "true" if bootstrap else "false",
            "listen.front": f"{HOST}:{self.front}", "listen.ready": f"{HOST}:{self.ready}",
            "ip": HOST, "internal_ports.0": str(self.internal),
            "platform.address": f"{HOST}:{self.store_port}", "platform.row_bytes": "65536",
            "bounds.grace_s": "8", "bounds.settle_ms": "1000",
            "limits.memory_mb": str(self.rig.memory_mb), "limits.max_fds": "8200",
        }
        text = (ROOT / "deploy/entry.toml").read_text(encoding="utf-8")

        def section(match):
            value = values.get(match[1])
            return "" if value is None else match[2].replace("{{.}}", value)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match[1]], text)
        return text

    async def start(self, bootstrap):
        path = self.rig.folder / f"{self.name}.toml"
        path.write_text(self.settings(bootstrap), encoding="utf-8")
        deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        command = re.search(r'^run = "([^"]+)"', deploy, re.M)[1].split()
        command = [str(path) if word.startswith("/etc/") else word for word in command]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        log = open(self.rig.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.rig.folder),
                 "LAGOONSCALE_NODE_FILE": str(path)})
        log.close()
        self.rig.record("platform", f"starts {self.name}, bootstrap {bootstrap}")

    async def signal(self, number):
        self.rig.record("platform", f"{signal.Signals(number).name} to {self.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)
        if number == signal.SIGKILL:
            await self.process.wait()

    def log_text(self):
        return (self.rig.folder / f"{self.name}.log").read_text("utf-8", "replace")

    async def until_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(ConnectionError, OSError, Closed):
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in line:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {seconds} s")


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status = None
        self.events = []
        self.body = b""
        self.is_complete = False
        self.end = "no answer"
        self.has_stamp = False

    def __str__(self):
        return (f"status={self.status} events={len(self.events)} bytes={len(self.body)} "
                f"complete={self.is_complete} end={self.end}")


class Client:
    """Client with one kept connection to one entry VM."""

    def __init__(self, rig, vm, receive_buffer=None):
        self.rig, self.vm = rig, vm
        self.receive_buffer = receive_buffer
        self.reader = self.writer = None

    async def connect(self):
        plain = socket.socket()
        if self.receive_buffer:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        plain.setblocking(False)
        await asyncio.wait_for(
            asyncio.get_running_loop().sock_connect(plain, (HOST, self.vm.front)), 1)
        # The stream's own buffer is small too, so that a client that doesn't read leaves
        # the bytes in the socket.
        self.reader, self.writer = await asyncio.open_connection(sock=plain, limit=8192)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, request_id, path, method="GET", headers=(), body=b"",
                   deadline_ms=3000, pause=None):
        """Sends a request and reads its answer. `pause`, a pair (bytes, seconds): the
        client reads nothing for so long after these bytes of the body."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.connect()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {DOMAIN}",
                     f"Lagoonscale-Request-Id: {request_id}",
                     f"Lagoonscale-Deadline-Ms: {deadline_ms}", *headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            self.rig.record("client", f"sends {request_id} {method} {path} to {self.vm.name}")
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(
                self.read_answer(answer, pause), deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer.end = "client gave up at its deadline"
            self.close()
        except (Closed, ConnectionError, OSError) as error:
            answer.end = f"connection ended: {error!r}"
            self.close()
        self.rig.record("client", f"gets   {request_id} {answer}")
        return answer

    async def read_answer(self, answer, pause):
        line, headers = await read_head(self.reader)
        answer.status = int(line.split(" ")[1])
        answer.has_stamp = header(headers, "lagoonscale-server-stamp") is not None
        answer.end = "in its body"
        if "chunked" in (header(headers, "transfer-encoding") or ""):
            async for part in chunks(self.reader):
                answer.body += part
                answer.events = re.findall(rb"id: (\d+)\n", answer.body)
        else:
            length = int(header(headers, "content-length", "0"))
            while len(answer.body) < length:
                if pause and len(answer.body) >= pause[0]:
                    await asyncio.sleep(pause[1])
                    pause = None
                try:
                    part = await self.reader.read(min(4096, length - len(answer.body)))
                except (ConnectionError, OSError) as error:
                    raise Closed(repr(error)) from error
                if not part:
                    raise Closed(f"after {len(answer.body)} of {length} bytes")
                answer.body += part
        answer.is_complete, answer.end = True, "whole"
        if header(headers, "connection", "").lower() == "close":
            self.close()

    async def turn(self, request_id, program, budget, max_tokens, session="s1"):
        """One turn of a program, with the headers of PROTOCOL.md."""
        return await self.send(
            request_id, "/turns/4b", "POST", body=b"p" * 400, headers=[
                f"Lagoonscale-Program-Id: {program}", f"Lagoonscale-Session-Id: {session}",
                "Lagoonscale-Finish-Ms: 60000", f"Lagoonscale-Token-Budget: {budget}",
                "Lagoonscale-Model: m", f"Lagoonscale-Token-Usage: 400,{max_tokens}",
                "Lagoonscale-Prompt-Prefix: 5c1e07a2:400"])


class Rig:
    """Store, engines and entry VMs of one case."""

    def __init__(self, case_folder):
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lagoon-review-"))
        self.store = Store(self.record)
        self.vms = []
        self.memory_mb = 260
        self.engines = []

    async def add_engines(self, service, zones, count, **options):
        for zone in zones:
            for number in range(count):
                name = f"i-{service}-{zone}-{number}"
                engine = Engine(self.record, name, service, zone, **options)
                await engine.start(self.store)
                self.engines.append(engine)

    async def add_vms(self, zones, count):
        for zone in zones:
            for number in range(1, count + 1):
                vm = EntryVm(self, f"front-{zone}-{number}", zone)
                vm.store_port = await self.store.open(vm.name)
                self.vms.append(vm)

    def engine_runs(self, request_id):
        return sum(engine.runs.count(request_id) for engine in self.engines)

    async def close(self):
        for vm in self.vms:
            if vm.process and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, case):
    """Runs `case(rig, trouble)`, which returns whether the rule held; exits as run.sh
    is to."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        rig = Rig(case_folder)
        rig.record("case", f"trouble {trouble}")
        held = None
        try:
            held = await asyncio.wait_for(case(rig, trouble), 105)
        except Exception as error:  # Whatever it was, the rule was not judged.
            rig.record("case", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(rig.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        await rig.close()
        result = {True: "held", False: "BROKEN", None: "could not run"}[held]
        rig.record("case", f"the rule: {result}")
        print(result, flush=True)
        # The tasks of the stand-ins end with the process.
        os._exit({True: 0, False: 1, None: 2}[held])

    asyncio.run(run())

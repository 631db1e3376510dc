"""Stand-ins for the reviews' scripts: the platform's store, workers, requesters and boxes.

Only the standard library is used. All addresses are loopback addresses, ports are chosen by the
kernel, and each box is a process of its own, started with the command of deploy/system.toml and
settings made from its template, deploy/settings.ini.
"""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w")
        self.rows = []

    def add(self, kind, **fields):
        row = dict(t=round(now(), 3), kind=kind, **fields)
        with self.lock:
            self.rows.append(row)
            words = " ".join(f"{k}={v}" for k, v in fields.items())
            self.file.write(f"{row['t']:8.3f} {kind} {words}\n")
            self.file.flush()

    def of(self, kind):
        with self.lock:
            return [row for row in self.rows if row["kind"] == kind]


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store: items, conditions, watches and leases."""

    def __init__(self, record=None):
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1000
        self.cond = threading.Condition()
        self.record = record
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def reply(self, status, body):
                data = json.dumps(body).encode()
                head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode()
                self.wfile.write(head + data)

            def query(self):
                path, _, query = self.path.partition("?")
                fields = dict(p.partition("=")[::2] for p in query.split("&") if p)
                return path, fields

            def do_GET(self):
                path, q = self.query()
                if path == "/v1/kv-range":
                    return self.reply(200, store.range(q.get("pathPrefix", ""), q.get("after", "")))
                if path == "/v1/kv-key":
                    item = store.get(q.get("key", ""))
                    return self.reply(200 if item else 404, item or {})
                if path == "/v1/kv-watch":
                    wait = int(q.get("waitMs", "0")) / 1000
                    return self.reply(200, store.watch(q.get("pathPrefix", ""), int(q["after"]), wait))
                self.reply(404, {})

            def do_POST(self):
                size = int(self.headers.get("content-length") or 0)
                body = json.loads(self.rfile.read(size) or b"{}")
                path, _ = self.query()
                if path == "/v1/kv-txn":
                    return self.reply(*store.txn(body))
                if path == "/v1/kv-lease":
                    with store.cond:
                        store.next_lease += 1
                        store.leases[store.next_lease] = now() + body["ttlMs"] / 1000
                        return self.reply(200, {"lease": store.next_lease, "ttlMs": body["ttlMs"]})
                self.reply(200, {"ttlMs": 3000})

            def do_DELETE(self):
                self.reply(200, {})

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        if not isinstance(value, (str, bytes)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        with self.cond:
            self._put(key, base64.b64encode(value).decode(), 0)

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = dict(key=key, value=value, revision=self.revision, created=created, lease=lease)
        self.items[key] = item
        self.events.append(item)
        self.cond.notify_all()

    def delete(self, key):
        with self.cond:
            self._delete(key)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(dict(key=key, revision=self.revision, deleted=True))
            self.cond.notify_all()

    def get(self, key):
        with self.cond:
            item = self.items.get(key)
            return dict(item, asOf=self.revision) if item else None

    def range(self, prefix, after):
        with self.cond:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = keys[:500]
            return dict(items=[self.items[k] for k in page], truncated=len(keys) > len(page),
                        asOf=self.revision)

    def watch(self, prefix, after, wait):
        end = now() + wait
        with self.cond:
            while True:
                news = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - now()
                if news or left <= 0:
                    return dict(events=news, asOf=self.revision)
                self.cond.wait(left)

    def txn(self, body):
        with self.cond:
            for row in body.get("expectedRev", []):
                if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                    rows = [self.items[r["key"]] for r in body["expectedRev"] if r["key"] in self.items]
                    return 412, dict(items=rows)
            for put in body.get("puts", []):
                self._put(put["key"], put["value"], put.get("lease", 0))
            for key in body.get("remove", []):
                self._delete(key)
            return 200, dict(revision=self.revision)


class Request:
    """A request as a worker read it."""

    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


class Channel:
    """A channel with a buffer: reads heads and bodies of HTTP/1.1 messages."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode("latin1")

    def exactly(self, size):
        while len(self.buffer) < size:
            self.more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def head(self):
        first = self.line()
        headers = []
        while line := self.line():
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
        return first, headers

    def body(self, headers, until_close=False):
        fields = {name.lower(): value for name, value in headers}
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = b""
            while size := int(self.line().partition(";")[0], 16):
                body += self.exactly(size)
                self.line()
            while self.line():
                pass
            return body
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        if until_close:
            try:
                while True:
                    self.more()
            except EOFError:
                data, self.buffer = self.buffer, b""
                return data
        return b""


class Worker:
    """A worker: runs each whole request that names it, and says so in the record.

    `answer(worker, channel, request)` may take over what happens with a request; it returns true if
    it has answered it.
    """

    def __init__(self, store, record, name, service, zone, slots=6, answer=None, work_s=0.03,
                 host="127.0.0.1", port=0, register=True):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.answer, self.work_s = slots, answer, work_s
        self.sequence = 0
        self.state = "ready"
        self.cold_ms = 0
        self.extra = {}
        self.alive = True
        self.beating = True
        self.channels = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, port))
        self.sock.listen(256)
        self.address = "%s:%d" % (host, self.sock.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()
        if register:
            self.write()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self):
        return dict(service=self.service, address=self.address, zone=self.zone, version="v1",
                    slots=self.slots, state=self.state, coldRemainingMs=self.cold_ms,
                    sequence=self.sequence, **self.extra)

    def write(self):
        self.store.put("servers/" + self.name, self.entry())

    def _beat(self):
        # The entry changes only when something besides its sequence changes.
        while self.alive:
            time.sleep(1.2)
            self.sequence += 1

    def _accept(self):
        while self.alive:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.channels.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        channel = Channel(sock)
        try:
            while True:
                first, headers = channel.head()
                method, path, _ = first.split(" ", 2)
                body = channel.body(headers)
                self.handle(channel, Request(method, path, headers, body))
        except (EOFError, OSError, ValueError):
            pass
        finally:
            self.channels.discard(sock)
            sock.close()

    def handle(self, channel, request):
        rid = request.header("Request-Id")
        if request.path == "/health":
            return self.send(channel, 200, b"ok", [("Served-By", self.name)])
        target = request.header("Target-Instance")
        if target is not None and target != self.name:
            return self.send(channel, 421, b"", [("Served-By", self.name), ("Request-Id", rid)])
        self.record.add("arrives", worker=self.name, id=rid, method=request.method, path=request.path,
                        deadline=request.header("Deadline-Ms"), bytes=len(request.body))
        if self.answer and self.answer(self, channel, request):
            return
        self.run(channel, request)

    def run(self, channel, request):
        rid = request.header("Request-Id")
        self.record.add("runs", worker=self.name, id=rid, method=request.method, path=request.path,
                        bytes=len(request.body))
        time.sleep(self.work_s)
        self.send(channel, 200, ("done by %s: %s" % (self.name, rid)).encode(), self.proof(rid))

    def proof(self, rid):
        return [("Request-Id", rid), ("Response-Signature", "sig.%s.%s" % (self.name, rid))]

    def send(self, channel, status, body, headers):
        head = "HTTP/1.1 %d X\r\n" % status
        head += "".join("%s: %s\r\n" % row for row in headers)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        channel.sock.sendall(head.encode("latin1") + body)

    def stop(self):
        """The process of the worker ends: its port and its channels close."""
        self.alive = False
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        for sock in list(self.channels):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


class Ports:
    """Hands out loopback ports that nothing listens on; each is held until its box starts."""

    def __init__(self):
        self.held = {}

    def take(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        address = "127.0.0.1:%d" % sock.getsockname()[1]
        self.held[address] = sock
        return address

    def release(self, address):
        sock = self.held.pop(address, None)
        if sock:
            sock.close()


BOUNDS = dict(retryBudgetRatio=0.2, budgetSlack=58)


def fill(template, fields):
    """Fills the gaps of the template as DEPLOY.md says, as far as deploy/settings.ini needs it."""

    def look(name, entry, key):
        if name == ".":
            return entry
        if name == "@":
            return key
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    def put(part, entry=None, key=None, last=True):
        def section(match):
            value = look(match[1], entry, key)
            if not value:
                return ""
            if isinstance(value, (dict, list)):
                rows = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                return "".join(put(match[2], v, k, i == len(rows) - 1) for i, (k, v) in enumerate(rows))
            return put(match[2], entry, key, last)

        part = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, part, flags=re.S)
        part = part.replace("{{,}}", "" if last else ",")
        return re.sub(r"\{\{([^}#/,]+)\}\}", lambda m: text(look(m[1], entry, key)), part)

    return put(template)


class Box:
    """A process of the system."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        take = deployment.ports.take
        self.front, self.ready, self.control, self.directory = take(), take(), take(), take()
        self.internal = [take(), take()]
        self.metrics = take()
        self.process = None
        self.bootstrap = True
        self.starts = 0

    def settings(self):
        d = self.deployment
        fields = dict(node=self.name, region=d.zones[self.zone], zone=self.zone, zones=d.zones,
                      bootstrap=self.bootstrap, ip="127.0.0.1",
                      listen=dict(front=self.front, ready=self.ready, control=self.control,
                                  directory=self.directory),
                      internalPorts=[a.rpartition(":")[2] for a in self.internal],
                      seeds=[b.control for b in d.boxes[:3]],
                      platform=dict(address=d.store_address), heartbeatMs=1200, bounds=d.bounds)
        with open(os.path.join(ROOT, "deploy/settings.ini")) as template:
            text = fill(template.read(), fields)
        # One machine here holds all boxes, so that each needs a port of its own for its figures.
        text = text.replace("metrics = 127.0.0.1:9464", "metrics = " + self.metrics)
        path = os.path.join(d.folder, self.name + ".ini")
        with open(path, "w") as out:
            out.write(text)
        return path

    def start(self):
        path = self.settings()
        for address in (self.front, self.ready, self.control, self.directory, self.metrics, *self.internal):
            self.deployment.ports.release(address)
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "a")
        program = os.path.join(ROOT, "target/release/petreldrum")
        self.process = subprocess.Popen([program, "gateway", "--settings", path], cwd=ROOT, stdout=log,
                                        stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                                         "PETRELDRUM_CONFIG": path})
        self.bootstrap = False
        self.starts += 1

    def log(self):
        with open(os.path.join(self.deployment.folder, self.name + ".log")) as log:
            return log.read()

    def is_ready(self):
        try:
            host, _, port = self.ready.rpartition(":")
            conn = http.client.HTTPConnection(host, int(port), timeout=1)
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout):
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None


class Deployment:
    """A store and boxes; `with` ends every process that was started."""

    def __init__(self, zones, boxes, store, bounds=None):
        self.zones, self.store_address = zones, store if isinstance(store, str) else store.address
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = Ports()
        self.boxes = []
        for name, zone in boxes:
            self.boxes.append(Box(self, name, zone))

    def __enter__(self):
        # A script that is stopped ends its boxes first.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        return self

    def start(self, timeout=20):
        for box in self.boxes:
            box.start()
        end = now() + timeout
        while not all(box.is_ready() for box in self.boxes):
            if now() > end:
                raise RuntimeError("the boxes do not get ready")
            time.sleep(0.1)

    def __exit__(self, *args):
        for box in self.boxes:
            if box.process and box.process.poll() is None:
                box.process.send_signal(signal.SIGCONT)
                box.process.kill()
        for box in self.boxes:
            if box.process:
                box.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind="idempotent", prefix="/", host="host.example", timeout_ms=6000, attempts=1,
          **extra):
    return dict(dict(name=name, host=host, pathPrefix=prefix, kind=kind, timeoutMs=timeout_ms,
                     targetLatencyMs=400, priority=1, service=service, maxAttempts=attempts), **extra)


def service(name, **extra):
    return dict(dict(name=name, healthPath="/health", maxConnections=110, protocol="h1", tls=False,
                     coldStartS=0.0, coldPerS=0.0), **extra)


def config(version, routes, services):
    return dict(version=version, routes=routes, services=services,
                limits=dict(maxHeaderBytes=16384, maxBodyBytes=4194304, headerTimeoutMs=3000,
                            idleTimeoutMs=15000))


def dial(address, timeout=10):
    host, _, port = address.rpartition(":")
    return Channel(socket.create_connection((host, int(port)), timeout))


def request_bytes(method, path, rid, body=b"", host="host.example", deadline=5000, headers=()):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {rid}\r\nDeadline-Ms: {deadline}\r\n"
    head += "".join("%s: %s\r\n" % row for row in headers)
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def read_answer(channel):
    first, headers = channel.head()
    status = int(first.split(" ")[1])
    return status, dict((n.lower(), v) for n, v in headers), channel.body(headers, until_close=True)

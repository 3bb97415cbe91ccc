"""Stand-ins of a small deployment for the scripts of the review: store, targets, clients, routers.

The system's own programs run as separate processes with the commands of the deploy file, each machine on a loopback
address of its own. All stand-ins run in the process of the script. They follow PROTOCOL.md and DEPLOY.md of the users'
pages; a case sets what they may do differently (a slow target, a restart).
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join("target", "release", "lavenderseam-vm")

SYN, ACK, FIN, RST, BOUNCED = 64, 8, 128, 32, 2
HEAD = struct.Struct("<HIIIBBIIHHI")
KEY = b"key of the clients and targets"

# Figures of koro-fiji.toml.
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 4.0
GRACE_S = 6
FLOW_MAX_S = 60
IDLE_TIMEOUT_MS = 15_000
# Pause before a stopped process runs again ("a short delay" in DEPLOY.md; the bench takes as long).
RESTART_S = 0.5
RESET_WINDOW = 76_800
# Longest time that a case may take.
LIMIT_S = 110

DATAGRAM, READY, CONTROL, OUTBOUND, APP, STORE, METRICS = 8172, 8167, 8166, 8162, 8165, 8169, 9464
PEER_PORTS = (7720, 7735)


def u32(value):
    return value & 0xFFFFFFFF


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a client or target; `src` and `dst` are (address, port)."""

    def __init__(self, src, dst, flags, seq, ack, data=b"", echo=0, pad=0):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, u32(seq), u32(ack)
        self.data, self.echo, self.pad, self.sum = data, echo, pad, None

    def checksum(self):
        fields = (len(self.data), self.seq, self.ack, self.flags & ~BOUNCED, self.src, self.dst)
        return zlib.crc32(KEY + repr(fields).encode() + self.data) or 1

    def encode(self, checksum=None):
        return HEAD.pack(
            len(self.data), self.seq, self.ack, self.checksum() if checksum is None else checksum, self.flags,
            self.pad, self.echo, ip_number(self.dst[0]), self.src[1], self.dst[1], ip_number(self.src[0]),
        ) + self.data

    @staticmethod
    def decode(raw):
        length, seq, ack, checksum, flags, pad, echo, dst, sport, dport, src = HEAD.unpack(raw[:32])
        packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, raw[32:], echo, pad)
        packet.sum = checksum
        return packet

    def intact(self):
        return self.sum == self.checksum()


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(data, addr)

    def error_received(self, exc):
        pass


async def udp(address, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Endpoint(handle), local_addr=address)
    return transport


async def read_http(reader):
    """Returns the first line and the body of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return lines[0], await reader.readexactly(length)


async def http_call(address, method, path, body=None, timeout=1.0):
    """Returns the status of a call, or None if none arrives in time."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n".encode() + payload
            )
            line, _ = await read_http(reader)
            return int(line.split()[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Store:
    """The platform's metadata store: objects by kind and name, lists and watches."""

    def __init__(self, address):
        self.address = address
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def put(self, kind, name, spec, create=False):
        async with self.changed:
            self.revision += 1
            old = self.objects.get((kind, name))
            meta = {"name": name, "revision": self.revision, "created": (old or {"meta": {"created": self.revision}})["meta"]["created"],
                    "finalizers": [], "deleting": False}
            stored = {"meta": meta, "spec": spec, "status": {}}
            self.objects[(kind, name)] = stored
            self.events.append((self.revision, kind, stored, False))
            self.changed.notify_all()
            return stored

    async def delete(self, kind, name):
        async with self.changed:
            stored = self.objects.pop((kind, name), None)
            if stored is None:
                return False
            self.revision += 1
            self.events.append((self.revision, kind, stored, True))
            self.changed.notify_all()
            return True

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")
        arguments = dict(item.partition("=")[::2] for item in query.split("&") if item)
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None and "watch" in arguments:
            after, deadline = int(arguments["watch"]), time.monotonic() + int(arguments.get("waitMs", 0)) / 1000
            async with self.changed:
                while True:
                    found = [e for e in self.events if e[0] > after and e[1] == kind]
                    left = deadline - time.monotonic()
                    if found or left <= 0:
                        events = [{"object": e[2], "deleted": e[3]} for e in found]
                        return 200, {"events": events, "storeRevision": self.revision}
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if method == "GET" and name is None:
            after = arguments.get("after", "")
            items = [o for (k, n), o in sorted(self.objects.items()) if k == kind and n > after]
            return 200, {"items": items, "more": False, "storeRevision": self.revision}
        stored = self.objects.get((kind, name)) if name else None
        if method == "GET":
            return (200, stored) if stored else (404, {})
        if method == "DELETE":
            return (200, {}) if await self.delete(kind, name) else (404, {})
        sent = json.loads(body)
        name = name or sent["meta"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST":
            return (409, stored) if stored else (200, await self.put(kind, name, sent["spec"]))
        if stored is None:
            return 404, {}
        wanted = sent["meta"].get("revision")
        if wanted is not None and wanted != stored["meta"]["revision"]:
            return 409, stored
        if stored["spec"] == sent["spec"]:
            return 200, stored
        return 200, await self.put(kind, name, sent["spec"])

    async def serve(self, reader, writer):
        try:
            line, body = await read_http(reader)
            method, target, _ = line.split()
            await asyncio.sleep(0.004)
            status, answer = await self.answer(method, target, body)
            payload = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n"
                "Connection: close\r\n\r\n".encode() + payload
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Target:
    """A target beside an agent. `syn_delay` is the time that it takes to answer the first copy of a SYN."""

    def __init__(self, deployment, name, service, zone, ip):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.service, self.zone, self.ip = name, service, zone, ip
        self.syn_delay = 0.0
        # Time from the start to the first ping, and between two pings; after one without an ack, if it differs.
        self.first_ping, self.retry = 0.0, 0.1
        self.boot, self.state, self.acknowledged, self.next_ping = 0, "ready", None, 0.0
        self.transport = None
        self.disturbed = -1e9

    async def start(self):
        self.boot += 1
        self.flows, self.tasks, self.pings = {}, set(), 0
        self.born = int(time.time() * 1000)
        self.transport = await udp((self.ip, APP), self.receive)
        self.health = await asyncio.start_server(self.serve_health, self.ip, APP)
        self.disturbed = self.record.now()
        self.record.write(f"target {self.name}: boot {self.boot} starts")
        self.spawn(self.ping())

    def crash(self):
        """Ends the boot without a word: its ports are closed and its flows are gone."""
        self.record.write(f"target {self.name}: boot {self.boot} crashes")
        self.disturbed = self.record.now()
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.health.close()
        self.transport = None

    async def drain(self, closes_listener):
        """Says that it leaves; once that is acknowledged, its liveness check fails: by a closed port, or by status 503."""
        self.record.write(f"target {self.name}: drains")
        self.state = "draining"
        while self.acknowledged != "draining":
            await asyncio.sleep(0.01)
        if closes_listener:
            self.health.close()
        self.record.write(f"target {self.name}: the drain is acknowledged")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve_health(self, reader, writer):
        try:
            await read_http(reader)
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def ping(self):
        await asyncio.sleep(self.first_ping)
        while True:
            self.pings += 1
            body = {
                "service": self.service, "addr": f"{self.ip}:{APP}", "zone": self.zone, "version": "v1",
                "concurrency": 9, "state": self.state, "warmupLeftMs": 0, "sequence": self.pings, "born": self.born,
            }
            status = await http_call((self.ip, CONTROL), "POST", f"/Instances.Heartbeat/{self.name}", body)
            self.record.write(f"target {self.name}: boot {self.boot} ping {self.pings}, {body['state']}: {status}")
            if status == 200:
                self.acknowledged = body["state"]
            pause = HEARTBEAT_S if status == 200 else self.retry
            self.next_ping = self.record.now() + pause
            await asyncio.sleep(pause)

    def send(self, packet):
        if self.transport is not None:
            self.transport.sendto(packet.encode(), (self.ip, OUTBOUND))

    def receive(self, raw, _):
        packet = Packet.decode(raw)
        if not packet.intact():
            self.record.write(f"target {self.name}: CHANGED packet")
            self.deployment.changed += 1
            return
        flow = (packet.src, packet.dst)
        state = self.flows.get(flow)
        if packet.flags & SYN:
            if packet.flags & ACK:
                self.deployment.changed += 1
            elif state is None:
                self.flows[flow] = state = {
                    "isn": random.getrandbits(32), "open": False, "next": u32(packet.seq + 1), "buffer": b"",
                    "ended": False, "sent": None, "acked": None,
                }
                state["sent"] = state["acked"] = u32(state["isn"] + 1)
                self.record.write(f"target {self.name}: SYN {packet.ack} of {flow[0]}")
                self.spawn(self.answer_syn(flow, state))
            elif not state["open"] and state.get("answered"):
                self.send_syn_ack(flow, state)
            return
        if state is None or (not state["open"] and packet.ack != u32(state["isn"] + 1)):
            # No flow of this target: it holds none, or the client acknowledges another target's seq.
            packet.flags |= BOUNCED
            packet.pad = 0
            if self.transport is not None:
                self.transport.sendto(packet.encode(packet.sum), (self.ip, OUTBOUND))
            return
        if not state["open"]:
            state["open"] = True
            self.deployment.owners[flow] = (self, self.boot)
            self.record.write(f"target {self.name}: flow of {flow[0]} is open")
        if state["ended"]:
            if packet.data:
                self.send(Packet(flow[1], flow[0], RST, packet.ack, 0))
            elif packet.flags & FIN:
                self.send(Packet(flow[1], flow[0], ACK, state["sent"], packet.seq + 1))
            return
        if packet.flags & RST:
            state["ended"] = True
            return
        if 0 < u32(packet.ack - state["acked"]) <= RESET_WINDOW:
            state["acked"] = packet.ack
        if packet.data and packet.seq == state["next"]:
            state["next"] = u32(packet.seq + len(packet.data))
            state["buffer"] += packet.data
            self.take_request(flow, state)
        if packet.data:
            self.send(Packet(flow[1], flow[0], ACK, state["sent"], state["next"]))
        if packet.flags & FIN:
            state["ended"] = True
            self.send(Packet(flow[1], flow[0], FIN | ACK, state["sent"], packet.seq + len(packet.data) + 1))

    def send_syn_ack(self, flow, state):
        self.send(Packet(flow[1], flow[0], SYN | ACK, state["isn"], state["next"]))

    async def answer_syn(self, flow, state):
        await asyncio.sleep(self.syn_delay)
        state["answered"] = True
        wait = 0.2
        for copy in range(9):
            if state["open"]:
                return
            self.send_syn_ack(flow, state)
            self.record.write(f"target {self.name}: SYN+ACK {copy} to {flow[0]}")
            await asyncio.sleep(wait)
            wait = min(wait * 2, 1.6)
        if not state["open"]:
            self.flows.pop(flow, None)

    def take_request(self, flow, state):
        head, end, body = state["buffer"].partition(b"\r\n\r\n")
        if not end:
            return
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        length = int(fields.get(b"content-length", b"0"))
        if len(body) < length:
            return
        state["buffer"] = body[length:]
        attempt = fields[b"x-attempt-id"].decode()
        self.record.write(f"target {self.name}: runs {attempt}")
        self.deployment.runs.setdefault(attempt, []).append(self.name)
        self.spawn(self.answer(flow, state, attempt))

    async def answer(self, flow, state, attempt):
        await asyncio.sleep(0.02)
        body = f"answer to {attempt}".encode()
        data = (
            f"HTTP/1.1 200 OK\r\nX-Server-Seal: {self.name}\r\nX-Attempt-Id: {attempt}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        # A target that is draining closes each flow after its next response.
        last = FIN if self.state == "draining" else 0
        start = state["sent"]
        state["sent"] = end = u32(start + len(data) + (1 if last else 0))
        wait = 0.2
        for _ in range(9):
            self.send(Packet(flow[1], flow[0], ACK | last, start, state["next"], data))
            await asyncio.sleep(wait)
            wait = min(wait * 2, 1.6)
            if u32(state["acked"] - end) < 0x80000000:
                return


class Client:
    """A machine with clients: one address, a port for each flow."""

    def __init__(self, deployment, ip, zone):
        self.deployment, self.ip, self.zone = deployment, ip, zone
        self.flows, self.next_port = {}, 20_000

    async def start(self):
        self.transport = await udp((self.ip, DATAGRAM), self.receive)

    def receive(self, raw, sender):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dst[1])
        if flow is not None:
            flow.receive(packet, sender)

    def open(self, service_address, label):
        self.next_port += 1
        flow = ClientFlow(self, (self.ip, self.next_port), service_address, label)
        self.flows[self.next_port] = flow
        return flow


class ClientFlow:
    """A flow of a client. Results of `connect` and `request`: "open" or "answered", "reset", "timeout"."""

    def __init__(self, client, address, service_address, label):
        self.client, self.deployment, self.record = client, client.deployment, client.deployment.record
        self.address, self.service, self.label = address, service_address, label
        self.is_open, self.is_reset, self.closes = False, False, False
        self.next, self.last_ack, self.peer_acked = 1, 0, 1
        self.buffer, self.changed = b"", asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        balancer = self.deployment.router.select(self.address, self.service, self.client.zone)
        packet = Packet(self.address, self.service, flags, seq, ack, data)
        self.client.transport.sendto(packet.encode(), (balancer.ip, DATAGRAM))
        self.via = balancer
        return balancer.name

    def receive(self, packet, sender):
        if packet.flags & RST and packet.sum == 0 and not packet.data:
            distance = u32(packet.seq - self.last_ack)
            near = min(distance, u32(-distance)) <= RESET_WINDOW
            taken = not self.is_reset and (near or not self.is_open)
            self.record.write(f"client {self.label}: reset by {sender[0]}, {'taken' if taken else 'ignored'}")
            if taken:
                if self.is_open:
                    self.deployment.judge_reset(self, sender[0])
                self.is_reset = True
                self.changed.set()
            return
        if not packet.intact():
            self.record.write(f"client {self.label}: CHANGED packet")
            self.deployment.changed += 1
            return
        if packet.flags & RST:
            self.record.write(f"client {self.label}: reset by the target")
            self.is_reset = True
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.last_ack = u32(packet.seq + 1)
                self.send(ACK, self.next, self.last_ack)
        elif self.is_open:
            if 0 < u32(packet.ack - self.peer_acked) <= RESET_WINDOW:
                self.peer_acked = packet.ack
            if packet.data and packet.seq == self.last_ack:
                self.last_ack = u32(packet.seq + len(packet.data))
                self.buffer += packet.data
                if packet.flags & FIN:
                    self.last_ack, self.closes = u32(self.last_ack + 1), True
            if packet.data:
                self.send(ACK | (FIN if self.closes else 0), self.next, self.last_ack)
        self.changed.set()

    async def wait(self, seconds, condition):
        deadline = time.monotonic() + seconds
        while not condition() and not self.is_reset:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                return False
        return True

    async def connect(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            via = self.send(SYN, 0, copy)
            self.record.write(f"client {self.label}: SYN {copy} from {self.address} by {via}")
            if await self.wait(wait, lambda: self.is_open):
                break
        result = "reset" if self.is_reset else "open" if self.is_open else "timeout"
        self.record.write(f"client {self.label}: {result}")
        return result

    async def request(self, attempt, limit=2.5):
        data = f"GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n\r\n".encode()
        start, self.next = self.next, u32(self.next + len(data))
        deadline, wait = time.monotonic() + limit, 0.2
        answered = lambda: f"answer to {attempt}".encode() in self.buffer
        while time.monotonic() < deadline:
            if u32(self.peer_acked - self.next) >= 0x80000000:
                via = self.send(ACK, start, self.last_ack, data)
                self.record.write(f"client {self.label}: sends {attempt} by {via}")
            if await self.wait(min(wait, max(0.0, deadline - time.monotonic())), answered):
                break
            wait = min(wait * 2, 1.6)
        result = "reset" if self.is_reset else "answered" if answered() else "timeout"
        self.record.write(f"client {self.label}: {attempt} {result}")
        return result


class Router:
    """The platform's routers: a steady hash over the ready edges of the client's zone."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {}

    async def probe(self, edge, phase=0.0):
        await asyncio.sleep(phase)
        while not edge.removed:
            status = await http_call((edge.ip, READY), "GET", "/readyz", timeout=0.4)
            was = self.misses.get(edge.name, 2)
            self.misses[edge.name] = now = 0 if status == 200 else was + 1
            if (was < 2) != (now < 2):
                self.deployment.record.write(f"router: {edge.name} {'in' if now < 2 else 'out of'} rotation")
            await asyncio.sleep(0.5)

    def in_rotation(self, edge):
        return self.misses.get(edge.name, 2) < 2

    def select(self, address, service, zone):
        edges = [p for p in self.deployment.processes.values() if p.role == "balancer" and not p.removed]
        local = [e for e in edges if e.zone == zone]
        ready = [e for e in local if self.in_rotation(e)]
        if ready and 2 * len(ready) < len(local):
            ready = local
        if not ready:
            ready = [e for e in edges if self.in_rotation(e)] or edges
        key = lambda edge: hashlib.sha256(repr((address, service, edge.name)).encode()).digest()
        return max(ready, key=key)


class Process:
    """One of the system's programs on its machine."""

    def __init__(self, deployment, name, role, zone, ip, target=None):
        self.deployment, self.name, self.role, self.zone, self.ip, self.target = deployment, name, role, zone, ip, target
        self.child, self.removed, self.disturbed = None, False, -1e9
        self.log = os.path.join(deployment.folder, name + ".log")

    async def start(self):
        settings = os.path.join(self.deployment.folder, self.name + ".yaml")
        with open(settings, "w") as file:
            # JSON is YAML.
            json.dump(self.deployment.settings(self), file, indent=1)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["LAVENDERSEAM_CONFIG"] = settings
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                PROGRAM, self.role, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.disturbed = self.deployment.record.now()
        self.deployment.record.write(f"{self.name}: starts")

    def touched(self):
        self.disturbed = self.deployment.record.now()

    async def stop(self, number=signal.SIGTERM):
        self.touched()
        self.deployment.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.child.send_signal(number)
        await self.child.wait()
        self.touched()
        self.deployment.record.write(f"{self.name}: has ended")

    async def freeze(self, seconds):
        self.touched()
        self.deployment.record.write(f"{self.name}: freezes")
        self.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.child.send_signal(signal.SIGCONT)
        self.touched()
        self.deployment.record.write(f"{self.name}: wakes")

    async def restart(self, number=signal.SIGTERM):
        await self.stop(number)
        await asyncio.sleep(RESTART_S)
        await self.start()


class Deployment:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.targets, self.clients = {}, {}, {}
        self.owners, self.runs, self.changed, self.breaks = {}, {}, 0, []
        self.net = self.free_network()
        self.store = Store((self.ip(9, 1), STORE))
        self.router = Router(self)
        self.tasks, self.added = [], 0
        # Only planned work happens.
        self.planned = False

    def free_network(self):
        """Returns the second byte of loopback addresses whose ports are free, and reserves them for other scripts."""
        for net in random.sample(range(16, 250), 60):
            reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                reservation.bind((f"127.{net}.200.1", CONTROL))
                for third, last, port in ((1, 1, DATAGRAM), (1, 1, CONTROL), (2, 1, APP), (2, 1, CONTROL), (9, 1, STORE)):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"127.{net}.{third}.{last}", port))
            except OSError:
                reservation.close()
                continue
            self.reservation = reservation
            return net
        raise OSError("no free loopback network")

    def ip(self, third, last):
        return f"127.{self.net}.{third}.{last}"

    def edge(self, name, zone):
        self.processes[name] = Process(self, name, "balancer", zone, self.ip(1, len(self.processes) + 1))

    def side(self, name, service, zone):
        ip = self.ip(2, len(self.targets) + 1)
        target = Target(self, name, service, zone, ip)
        self.targets[name] = target
        self.processes["side-" + name] = Process(self, "side-" + name, "agent", zone, ip, target)

    def add_edge(self, name, zone):
        self.added += 1
        process = self.processes[name] = Process(self, name, "balancer", zone, self.ip(3, self.added))
        return process

    def add_side(self, name, service, zone):
        self.added += 1
        ip = self.ip(4, self.added)
        target = self.targets[name] = Target(self, name, service, zone, ip)
        process = self.processes["side-" + name] = Process(self, "side-" + name, "agent", zone, ip, target)
        return target, process

    def settings(self, process):
        zones = sorted({p.zone for p in self.processes.values()})
        edges = [p for p in self.processes.values() if p.role == "balancer"]
        listen = {"datagramAddr": f"{process.ip}:{DATAGRAM}", "ready": f"{process.ip}:{READY}", "control": f"{process.ip}:{CONTROL}"}
        settings = {
            "nodeId": process.name, "role": process.role, "ip": process.ip, "zone": process.zone, "region": "region",
            "machineClass": "edge" if process.role == "balancer" else "side",
            "serves": ["edge", "control_plane"] if process.role == "balancer" else ["side"],
            "zones": {zone: "region" for zone in zones}, "listen": listen, "internalPortRange": list(PEER_PORTS),
            "seeds": [f"{edge.ip}:{CONTROL}" for edge in [e for e in edges if not e.removed][:3]], "bootstrap": False, "inFaultBudget": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "announce", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": {"stableWindowMs": int(STABLE_WINDOW_S * 1000), "drainMs": 3000, "graceS": GRACE_S,
                       "configApplyMs": 3000, "evacuateMs": 5000, "reorderMs": 2000, "flowMaxS": FLOW_MAX_S},
            "hash": "steady", "deployMode": "agent",
            "platform": {"addr": f"{self.store.address[0]}:{STORE}", "deployMode": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        if process.target is not None:
            listen["outbound"] = f"{process.ip}:{OUTBOUND}"
            settings["app"] = f"{process.ip}:{APP}"
            settings["service"] = process.target.service
        return settings

    async def start(self, routes):
        """Starts everything; `routes` holds (port, service, kind) of each route at 198.18.0.1."""
        services = sorted({service for _, service, _ in routes})
        desired = {
            "version": 3,
            "routes": [
                {"name": f"route-{port}", "host": "198.18.0.1", "pathPrefix": f"/{port}/", "service": service, "kind": kind,
                 "timeoutMs": 2500, "aimMs": 250, "priority": 1, "maxAttempts": 1}
                for port, service, kind in routes
            ],
            "services": [{"name": s, "healthPath": "/health", "maxConns": 2000, "warmupPerS": 0} for s in services],
            "limits": {"idleTimeoutMs": IDLE_TIMEOUT_MS},
        }
        await self.store.start()
        await self.store.put("config", "main", desired)
        for target in self.targets.values():
            await target.start()
        for process in self.processes.values():
            await process.start()
        for process in self.processes.values():
            if process.role == "balancer":
                self.tasks.append(asyncio.ensure_future(self.router.probe(process)))
        for client in self.clients.values():
            await client.start()

    async def ready(self, seconds=15):
        """Waits until all edges are in rotation and a while longer; returns False if they aren't."""
        deadline = time.monotonic() + seconds
        edges = [p for p in self.processes.values() if p.role == "balancer"]
        while not all(self.router.in_rotation(edge) for edge in edges):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)
        await asyncio.sleep(STABLE_WINDOW_S)
        return True

    def judge_reset(self, flow, sender_ip):
        """FLOW (a): the client of an open flow has taken a reset that the flow's target didn't send."""
        now = self.record.now()
        owner = self.owners.get((flow.address, flow.service))
        if owner is None:
            self.record.write(f"judge {flow.label}: no target had the end of the handshake")
            return
        target, boot = owner
        if target.transport is None or target.boot != boot:
            self.record.write(f"judge {flow.label}: its target has ended")
            return
        sender = next(p for p in self.processes.values() if p.ip == sender_ip)
        machines = {"took the packets": flow.via, "sent the reset": sender, "beside the target": self.processes["side-" + target.name]}
        calm = {role: now - machine.disturbed for role, machine in machines.items()}
        calm["target"] = now - target.disturbed
        told = ", ".join(f"{role} {seconds:.1f} s" for role, seconds in calm.items())
        counts = self.planned or min(calm.values()) >= STABLE_WINDOW_S
        self.record.write(f"judge {flow.label}: target {target.name} lives; without disturbance: {told}; {'FLOW broken' if counts else 'not counted'}")
        if counts:
            self.breaks.append(flow.label)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.child is not None and process.child.returncode is None:
                process.child.kill()
                await process.child.wait()
        self.reservation.close()

    def log_lines(self, *events):
        """Copies lines with these events from the programs' logs into the record."""
        for process in self.processes.values():
            if os.path.exists(process.log):
                with open(process.log, errors="replace") as log:
                    for line in log:
                        if any(f'"event":"{event}"' in line for event in events):
                            self.record.write(f"log {line.strip()[:600]}")


def main(folder, play, plays=1):
    """Plays a case on fresh deployments, one after the other, until one breaks the rule.

    `play(deployment, trouble)` returns None, or a text if the case couldn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def run_one():
        deployment = Deployment(record)
        try:
            failed = await asyncio.wait_for(play(deployment, trouble), LIMIT_S)
            deployment.log_lines("packet", "idle_flow_reset", "backend")
        except (OSError, asyncio.TimeoutError) as error:
            failed = f"{type(error).__name__}: {error}"
        finally:
            await deployment.end()
            shutil.rmtree(deployment.folder, ignore_errors=True)
        twice = [attempt for attempt, runs in deployment.runs.items() if len(runs) > 1]
        if failed:
            return 2, f"couldn't run: {failed}"
        if deployment.breaks or deployment.changed or twice:
            return 1, f"broken: resets of flows {deployment.breaks}, changed packets {deployment.changed}, run twice {twice}"
        return 0, "held"

    code, verdict = 2, "not run"
    for number in range(plays):
        record.write(f"play {number + 1} of {plays}")
        code, verdict = asyncio.run(run_one())
        record.write(f"result of play {number + 1} (trouble {'on' if trouble else 'off'}): {verdict}")
        if code:
            verdict += f", in play {number + 1} of {plays}"
            break
    print(verdict)
    sys.exit(code)

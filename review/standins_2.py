"""Stand-ins for the cases 6 to 10: the platform's store, targets, clients and the routers.

They follow PROTOCOL.md and DEPLOY.md. Everything runs in one process on loopback addresses and the
real clock; the balancers and agents are the project's own programs, started with the commands of the
deploy file. Nothing is written but the record of the case and a temporary folder.
"""

import asyncio
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "lavenderseam-vm")
# Port of the metrics in deploy/system.toml.
METRICS_PORT = 9464

SYN, ACK, FIN, RST, BOUNCED = 64, 8, 128, 32, 2
HEADER = struct.Struct("<HIIIBBIIHHI")
SUM_KEY = b"stand-in"
RESET_WINDOW = 76_800
MASK = 0xFFFF_FFFF

HEARTBEAT_S = 0.77
# Figures of sites/koro-fiji.toml and sites/tsagaan-mor.toml.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "slackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250,
    "maxSkewMs": 12000, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000,
    "recoveryS": 12, "reorderMs": 2000, "flowMaxS": 60,
}


class CannotRun(Exception):
    """The case can't run here, which says nothing about the rule."""


class Record:
    """Events of a run, with the time since its start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet: a header of 32 bytes, and data."""

    __slots__ = ("src", "sport", "dst", "dport", "flags", "echo", "seq", "ack", "sum", "data")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & MASK, ack & MASK, data
        self.echo = 0
        self.sum = self.compute_sum()

    def compute_sum(self):
        head = struct.pack(
            "<HIIBIIHH", len(self.data), self.seq, self.ack, self.flags & ~BOUNCED,
            ip_number(self.src), ip_number(self.dst), self.sport, self.dport,
        )
        return zlib.crc32(SUM_KEY + head + self.data) or 1

    def encode(self):
        return HEADER.pack(
            len(self.data), self.seq, self.ack, self.sum, self.flags, 0, self.echo,
            ip_number(self.dst), self.sport, self.dport, ip_number(self.src),
        ) + self.data

    @classmethod
    def decode(cls, raw):
        length, seq, ack, total, flags, _, echo, dst, sport, dport, src = HEADER.unpack_from(raw)
        packet = cls.__new__(cls)
        packet.src, packet.sport = ip_text(src), sport
        packet.dst, packet.dport = ip_text(dst), dport
        packet.flags, packet.seq, packet.ack = flags, seq, ack
        packet.echo, packet.sum, packet.data = echo, total, raw[32:32 + length]
        return packet

    def is_intact(self):
        return self.sum == self.compute_sum()

    def is_system_reset(self):
        return self.flags == RST and self.sum == 0 and not self.data


# HTTP


async def read_message(reader):
    """Reads a request or an answer: first line, headers by lower-case name, body."""
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line, headers, body


def answer(status, body=None):
    text = b"" if body is None else json.dumps(body).encode()
    return (f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


async def call(address, method, path, body=None, timeout=1.0):
    """Makes a call on a connection of its own; returns its status, or None without an answer."""
    text = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n"
                          "Connection: close\r\n\r\n").encode() + text)
            message = await read_message(reader)
            return int(message[0].split()[1]) if message else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self):
        self.revision = 500
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def put(self, kind, name, spec):
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        created = objects[name]["meta"]["created"] if name in objects else self.revision
        objects[name] = {
            "meta": {"name": name, "revision": self.revision, "created": created,
                     "finalizers": [], "deleting": False},
            "spec": spec, "status": None,
        }
        self.notify(kind, objects[name], False)

    def delete(self, kind, name):
        stored = self.kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            stored["meta"]["revision"] = self.revision
            self.notify(kind, stored, True)
        return stored

    def notify(self, kind, stored, deleted):
        copy = json.loads(json.dumps(stored))
        self.events.append((self.revision, kind, {"object": copy, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                writer.write(await self.respond(method, target, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def respond(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        parts = [part for part in path.split("/") if part]
        if len(parts) < 2 or parts[0] != "objects":
            return answer(404)
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            return answer(200, objects[name]) if name in objects else answer(404)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000)
        if method == "GET":
            after = query.get("after", "")
            names = sorted(found for found in objects if found > after)
            return answer(200, {"items": [objects[found] for found in names[:500]],
                                "more": len(names) > 500, "storeRevision": self.revision})
        if method == "DELETE":
            return answer(200, {}) if self.delete(kind, name) else answer(404)
        sent = json.loads(body)
        name = name or sent["meta"]["name"]
        stored = objects.get(name)
        if method == "POST" and stored is not None:
            return answer(409, stored)
        if method == "PUT":
            if stored is None:
                return answer(404)
            revision = sent["meta"].get("revision")
            if revision is not None and revision != stored["meta"]["revision"]:
                return answer(409, stored)
            if stored["spec"] == sent.get("spec"):
                return answer(200, stored)
        self.put(kind, name, sent.get("spec"))
        return answer(200, objects[name])

    async def watch(self, kind, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [event for revision, of, event in self.events if of == kind and revision > after]
            changed, rest = self.changed, until - time.monotonic()
            if events or rest <= 0:
                return answer(200, {"events": events, "storeRevision": self.revision})
            try:
                await asyncio.wait_for(changed.wait(), rest)
            except asyncio.TimeoutError:
                pass


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, _):
        self.receive(data)

    def error_received(self, _):
        pass


async def open_endpoint(address, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Endpoint(receive), local_addr=address)
    return transport


class TargetFlow:
    def __init__(self, isn, expected):
        self.isn, self.expected = isn, expected
        self.open = False
        self.next_seq = isn + 1
        self.answers = {}
        self.closed = False


class Target:
    """An application target: accepts flows, runs requests, and pings the node beside it.

    The boot has its own `id` unless one is given. A packet of a flow that it doesn't hold is returned
    to `outbound` with BOUNCED; a flow that has ended answers a FIN with an ACK.
    """

    boots = 0

    def __init__(self, deployment, machine, service, work_s=0.02, id=None, slots=8, first_ping_s=0.0):
        Target.boots += 1
        self.deployment, self.machine, self.service = deployment, machine, service
        self.record = deployment.record
        self.boot = Target.boots
        self.id = id or f"i-{self.boot:04x}{random.getrandbits(24):06x}"
        self.work_s, self.slots, self.first_ping_s = work_s, slots, first_ping_s
        self.flows, self.ended = {}, set()
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.drain_acked_at = None
        self.unacked_pings = 0
        self.runs = deployment.runs
        self.tasks = []
        self.alive = self.dark = False

    async def start(self):
        network = self.deployment
        self.alive, self.dark = True, False
        self.health = await asyncio.start_server(self.serve_health, *network.app(self.machine))
        self.transport = await open_endpoint(network.app(self.machine), self.receive)
        self.tasks.append(asyncio.create_task(self.ping_forever()))
        self.record.write(f"target boot {self.boot} ({self.id}) of {self.service} started on {self.machine}")

    def reboot(self, first_ping_s=0.0, id=None):
        """Starts a new boot on the sockets of the last one, as a supervisor does that keeps them."""
        for task in self.tasks:
            task.cancel()
        Target.boots += 1
        self.boot = Target.boots
        self.id = id or f"i-{self.boot:04x}{random.getrandbits(24):06x}"
        self.flows, self.ended = {}, set()
        self.state, self.dark, self.sequence = "ready", False, 0
        self.drain_acked_at, self.unacked_pings = None, 0
        self.born = int(time.time() * 1000)
        self.first_ping_s = first_ping_s
        self.tasks = [asyncio.create_task(self.ping_forever())]
        self.record.write(f"target boot {self.boot} ({self.id}) of {self.service} started on {self.machine}")

    def end(self, how):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.health.close()
        self.flows.clear()
        self.record.write(f"target boot {self.boot} on {self.machine} ended: {how}")

    def go_dark(self):
        """Crashes silently: the flows are gone, nothing is answered, and no port is closed."""
        self.dark = True
        for task in self.tasks:
            task.cancel()
        self.flows.clear()
        self.record.write(f"target boot {self.boot} on {self.machine} goes dark")

    async def serve_health(self, reader, writer):
        try:
            if self.dark:
                await asyncio.sleep(60)
            if await read_message(reader):
                writer.write(answer(200 if self.state == "ready" else 503))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def ping_body(self):
        self.sequence += 1
        app = self.deployment.app(self.machine)
        return {
            "service": self.service, "addr": f"{app[0]}:{app[1]}",
            "zone": self.deployment.zone_of[self.machine], "version": "v1",
            "concurrency": self.slots, "state": self.state, "warmupLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
        }

    async def ping(self):
        """Sends one ping; returns True if it is acknowledged."""
        body = self.ping_body()
        status = await call(self.deployment.control(self.machine), "POST",
                            f"/Instances.Heartbeat/{self.id}", body)
        acked = status is not None and 200 <= status < 300
        if not acked and body["sequence"] > 4:
            self.unacked_pings += 1
            self.record.write(f"ping {body['sequence']} ({body['state']}) of boot {self.boot} got {status}")
        if acked and body["state"] == "draining" and self.drain_acked_at is None:
            self.drain_acked_at = self.record.now()
            self.record.write(f"drain of boot {self.boot} acknowledged")
        return acked

    async def ping_forever(self):
        await asyncio.sleep(self.first_ping_s)
        while True:
            acked = await self.ping()
            await asyncio.sleep(HEARTBEAT_S if acked else 0.05 if self.sequence < 8 else 0.3)

    def send(self, flow_key, flow, flags, seq, ack, data=b""):
        src, sport, dst, dport = flow_key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, data)
        self.transport.sendto(packet.encode(), self.deployment.outbound(self.machine))

    def receive(self, raw):
        if not self.alive or self.dark:
            return
        packet = Packet.decode(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.is_intact() or (packet.flags & SYN and packet.flags & ACK):
            self.deployment.violations.append(f"boot {self.boot} got a packet that nobody sent so")
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = TargetFlow(random.getrandbits(32), packet.seq + 1)
                self.deployment.openers.append((self.record.now(), self, key))
            if not flow.open:
                self.send(key, flow, SYN | ACK, flow.isn, flow.expected)
            return
        if flow is not None and not flow.open:
            if packet.flags & ACK and packet.ack == (flow.isn + 1) & MASK:
                flow.open = True
            else:
                flow = None
        if flow is None:
            if key in self.ended:
                if packet.flags & FIN:
                    self.send(key, None, ACK, packet.ack, packet.seq + 1)
                elif packet.data:
                    self.send(key, None, RST, packet.ack, packet.seq)
                return
            header = bytearray(raw)
            header[14] |= BOUNCED
            header[15] = 0
            self.transport.sendto(bytes(header), self.deployment.outbound(self.machine))
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            self.on_data(key, flow, packet)
        if packet.flags & FIN:
            self.send(key, flow, FIN | ACK, flow.next_seq, packet.seq + 1)
            del self.flows[key]
            self.ended.add(key)

    def on_data(self, key, flow, packet):
        if packet.seq in flow.answers:
            # A copy: the answer is sent again if there is one.
            if flow.answers[packet.seq] is not None:
                self.send(key, flow, ACK, *flow.answers[packet.seq])
            return
        flow.answers[packet.seq] = None
        flow.expected = packet.seq + len(packet.data)
        attempt = packet.data.split(b"X-Attempt-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
        self.runs.setdefault(attempt, []).append((self.record.now(), self.boot))
        self.record.write(f"boot {self.boot} runs {attempt}")
        self.send(key, flow, ACK, flow.next_seq, flow.expected)
        self.tasks.append(asyncio.create_task(self.work(key, flow, packet.seq, attempt)))

    async def work(self, key, flow, seq, attempt):
        await asyncio.sleep(self.work_s)
        if not self.alive or self.flows.get(key) is not flow:
            return
        body = f"done {attempt}".ljust(400, ".").encode()
        text = (f"HTTP/1.1 200 OK\r\nX-Server-Seal: {attempt}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        flow.answers[seq] = (flow.next_seq, flow.expected, text)
        self.send(key, flow, ACK, flow.next_seq, flow.expected, text)
        flow.next_seq += len(text)
        if self.state == "draining":
            self.send(key, flow, FIN | ACK, flow.next_seq, flow.expected)
            flow.next_seq += 1

    async def leave(self, serve_s=0.5, give_up_s=6.0):
        """Drains, serves on for `drainMs` after the ack and a little longer, deregisters and exits;
        exits anyway some seconds later if there is no ack."""
        self.state = "draining"
        self.record.write(f"boot {self.boot} drains")
        since = time.monotonic()
        while self.drain_acked_at is None and time.monotonic() - since < give_up_s:
            await asyncio.sleep(0.02)
        if self.drain_acked_at is not None:
            await asyncio.sleep(BOUNDS["drainMs"] / 1000 + serve_s)
        await call(self.deployment.control(self.machine), "POST",
                   f"/Instances.Deregister/{self.id}", {"born": self.born})
        self.end("left" if self.drain_acked_at is not None else "left without an ack")


class ClientFlow:
    def __init__(self, host, port, service):
        self.host, self.port, self.service = host, port, service
        self.isn = random.getrandbits(32)
        self.seq = self.isn + 1
        self.peer_isn = self.last_ack = None
        self.state = "syn"
        self.reset_at = None
        self.event = asyncio.Event()
        self.answer = b""

    def wake(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout):
        try:
            await asyncio.wait_for(self.event.wait(), max(timeout, 0.001))
        except asyncio.TimeoutError:
            pass

    def send(self, flags, seq, ack, data=b""):
        packet = Packet(self.host.ip, self.port, self.service[0], self.service[1], flags, seq, ack, data)
        self.host.send(packet)

    def receive(self, packet):
        if packet.is_system_reset():
            distance = min((packet.seq - (self.last_ack or 0)) & MASK, ((self.last_ack or 0) - packet.seq) & MASK)
            if self.state == "syn" or (self.state == "open" and distance <= RESET_WINDOW):
                self.was_open = self.state == "open"
                self.state, self.reset_at = "reset", self.host.record.now()
                self.wake()
            return
        if not packet.is_intact():
            self.host.deployment.violations.append("a client got a packet that nobody sent so")
            return
        if packet.flags & SYN and self.state == "syn":
            self.peer_isn, self.last_ack, self.state = packet.seq, (packet.seq + 1) & MASK, "open"
            self.send(ACK, self.seq, self.last_ack)
            self.wake()
            return
        if packet.flags & RST:
            if self.state == "open":
                self.state = "reset by target"
                self.wake()
            return
        if packet.data and packet.seq == self.last_ack:
            self.answer += packet.data
            self.last_ack = (packet.seq + len(packet.data)) & MASK
            self.send(ACK, self.seq, self.last_ack)
            self.wake()
        if packet.flags & FIN and packet.seq == self.last_ack and self.state == "open":
            self.state = "closed by target"
            self.wake()


class Client:
    """Clients at one address: packets for them arrive at the port of `datagramAddr`."""

    def __init__(self, deployment, ip):
        self.deployment, self.ip, self.record = deployment, ip, deployment.record
        self.flows = {}
        self.next_port = random.randrange(2000, 30000)

    async def start(self):
        address = (self.ip, self.deployment.ports["datagram"])
        self.transport = await open_endpoint(address, self.receive)

    def receive(self, raw):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)

    def send(self, packet):
        balancer = self.deployment.route(packet)
        if balancer is not None:
            self.transport.sendto(packet.encode(), balancer)

    async def open(self, service):
        """Opens a flow; its state is `open` or `reset`, or stays `syn` if nobody answers."""
        self.next_port += 1
        flow = self.flows[self.next_port] = ClientFlow(self, self.next_port, service)
        started = time.monotonic()
        for copies, until in enumerate((0.2, 0.6, 1.4)):
            if flow.state == "syn":
                flow.send(SYN, flow.isn, copies)
            while flow.state == "syn" and time.monotonic() - started < until:
                await flow.wait(until - (time.monotonic() - started))
        return flow

    async def request(self, flow, attempt, limit_s=1.0):
        """Sends a request on an open flow; returns 'ok' or why there is no answer."""
        body = b"x" * 300
        text = (f"POST /edit HTTP/1.1\r\nHost: t\r\nX-Attempt-Id: {attempt}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        seq, flow.answer, interval = flow.seq, b"", 0.2
        flow.seq += len(text)
        until = time.monotonic() + limit_s
        send_at = time.monotonic()
        while flow.state == "open" and time.monotonic() < until:
            if f"done {attempt}".encode() in flow.answer:
                return "ok"
            if time.monotonic() >= send_at:
                flow.send(ACK, seq, flow.last_ack, text)
                send_at, interval = time.monotonic() + interval, min(interval * 2, 1.6)
            await flow.wait(min(send_at, until) - time.monotonic())
        if f"done {attempt}".encode() in flow.answer:
            return "ok"
        return "no answer in time" if flow.state == "open" else flow.state

    def close(self, flow):
        if flow.state in ("open", "closed by target"):
            flow.send(FIN | ACK, flow.seq, flow.last_ack)
        flow.state = "closed"

    async def one_request(self, service, attempt, limit_s=1.0):
        """A flow for one request; returns its outcome."""
        started = time.monotonic()
        flow = await self.open(service)
        if flow.state != "open":
            outcome = "refused" if flow.state == "reset" else "not opened"
        else:
            outcome = await self.request(flow, attempt, limit_s - (time.monotonic() - started))
        self.close(flow)
        self.record.write(f"request {attempt}: {outcome}")
        return outcome


class Deployment:
    """Machines, programs, store, routers and clients of a small deployment."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        base = random.randrange(12000, 30000)
        names = ("datagram", "outbound", "ready", "control", "app", "store")
        self.ports = {name: base + index for index, name in enumerate(names)}
        self.internal = (base + 10, base + 20)
        self.machines, self.zone_of, self.service_of = {}, {}, {}
        self.processes, self.restarting = {}, {}
        self.rotation, self.misses = {}, {}
        self.violations, self.runs, self.openers = [], {}, []
        self.tasks = []

    def address(self, machine, port):
        return (self.machines[machine], self.ports[port])

    def app(self, machine):
        return self.address(machine, "app")

    def control(self, machine):
        return self.address(machine, "control")

    def outbound(self, machine):
        return self.address(machine, "outbound")

    def add_machine(self, name, zone, service=None):
        self.machines[name] = f"{self.net}.{len(self.machines) + 1}"
        self.zone_of[name] = zone
        if service:
            self.service_of[name] = service

    async def start_store(self):
        self.store_address = (f"{self.net}.200", self.ports["store"])
        self.store = Store()
        try:
            await self.store.start(self.store_address)
        except OSError as error:
            raise CannotRun(f"store: {error}") from error

    def write_settings(self, machine, bootstrap):
        side = machine in self.service_of
        edges = [name for name in self.machines if name not in self.service_of]
        listen = {"datagramAddr": "datagram", "ready": "ready", "control": "control"}
        if side:
            listen["outbound"] = "outbound"
        settings = {
            "nodeId": machine, "role": "agent" if side else "balancer",
            "machineClass": "side" if side else "edge",
            "serves": ["side"] if side else ["edge", "control_plane"],
            "ip": self.machines[machine], "zone": self.zone_of[machine], "region": "r",
            "zones": {zone: "r" for zone in self.zone_of.values()},
            "listen": {key: "%s:%d" % self.address(machine, port) for key, port in listen.items()},
            "internalPortRange": list(self.internal),
            "seeds": ["%s:%d" % self.control(edge) for edge in edges[:3]],
            "bootstrap": bootstrap, "heartbeatMs": int(HEARTBEAT_S * 1000),
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "announce", "hash": "steady",
            "deployMode": "agent", "bounds": BOUNDS,
            "platform": {"addr": "%s:%d" % self.store_address, "deployMode": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        if side:
            settings["app"] = "%s:%d" % self.app(machine)
            settings["service"] = self.service_of[machine]
        path = os.path.join(self.folder, f"{machine}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            # JSON is YAML.
            json.dump(settings, file)
        return path

    def spawn(self, machine, bootstrap=False):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program of the deploy file isn't built")
        path = self.write_settings(machine, bootstrap)
        role = "agent" if machine in self.service_of else "balancer"
        environment = {"PATH": os.environ.get("PATH", ""), "LAVENDERSEAM_CONFIG": path}
        log = open(os.path.join(self.folder, f"{machine}.log"), "ab")
        self.processes[machine] = subprocess.Popen(
            [PROGRAM, role], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.record.write(f"process {role} started on {machine}")

    async def start(self):
        for machine in self.machines:
            self.spawn(machine, bootstrap=True)
        for machine in self.machines:
            if machine not in self.service_of:
                self.rotation[machine], self.misses[machine] = False, 2
                self.tasks.append(asyncio.create_task(self.check_ready(machine)))

    async def check_ready(self, machine):
        while True:
            status = await call(self.address(machine, "ready"), "GET", "/readyz", timeout=0.4)
            self.misses[machine] = 0 if status == 200 else self.misses[machine] + 1
            ready = self.misses[machine] == 0 or (self.rotation[machine] and self.misses[machine] < 2)
            if ready != self.rotation[machine]:
                self.record.write(f"{machine} {'is in' if ready else 'leaves'} the rotation")
            self.rotation[machine] = ready
            await asyncio.sleep(0.5)

    def route(self, packet):
        """Returns the node that a client's packet goes to, by a steady hash."""
        ready = [machine for machine, is_in in self.rotation.items() if is_in] or list(self.rotation)
        key = f"{packet.src}{packet.sport}{packet.dst}{packet.dport}"
        best = max(ready, key=lambda machine: zlib.crc32((key + machine).encode()))
        return self.address(best, "datagram")

    async def ready(self, timeout=10):
        until = time.monotonic() + timeout
        while not all(self.rotation.values()):
            if time.monotonic() > until:
                raise CannotRun("the balancers aren't ready in time")
            await asyncio.sleep(0.1)

    def configure(self, routes, services, version=1):
        """Writes the desired state; `routes` maps an address to the name of its service."""
        body = {
            "version": version,
            "routes": [{"name": f"r{index}", "host": host, "pathPrefix": f"/{port}/",
                        "kind": "non_idempotent", "timeoutMs": 1000, "aimMs": 150, "priority": 1,
                        "service": service, "maxAttempts": 2}
                       for index, ((host, port), service) in enumerate(routes.items())],
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False, "warmupS": 2.0, "warmupPerS": 0.0}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        self.store.put("config", "main", body)

    def logs(self, machine):
        with open(os.path.join(self.folder, f"{machine}.log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Runs a case: `play(deployment, trouble)` returns True if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def main():
        # Connections that are open when the loop ends.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(play(deployment, trouble), 110)
        finally:
            await deployment.stop()

    try:
        held = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write(f"the case couldn't run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

"""Stand-ins for the platform's store, routers, targets and clients, and a runner for lavenderseam-vm.

Everything runs on loopback addresses 127.N.x.y with a second byte N that is free, on the real clock.
The stand-ins keep to the users' protocol page; where it is silent they behave like sound peers.
"""

import asyncio
import json
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
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "lavenderseam-vm")
SYN, ACK, FIN, RST, BOUNCED = 64, 8, 128, 32, 2
HEAD = struct.Struct("<HIIIBBIIHHI")  # len seq ack sum flags pad echo dst sport dport src
KEY = b"review"
DATAGRAM, READY, CONTROL, OUTBOUND, APP, STORE = 8172, 8167, 8166, 8162, 8165, 8169
IN_FLIGHT_WINDOW = 76_800


class CannotRun(Exception):
    """The case could not run (exit code 2)."""


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def keyed_sum(head, data):
    length, seq, ack, _, flags, _, _, dst, sport, dport, src = head
    covered = struct.pack("<HIIBIHHI", length, seq, ack, flags & ~BOUNCED, dst, sport, dport, src)
    return zlib.crc32(KEY + covered + data) or 1


def encode(src, sport, dst, dport, flags, seq, ack, data=b""):
    head = [len(data), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 0, flags, 0, 0, ip_number(dst), sport, dport, ip_number(src)]
    head[3] = keyed_sum(head, data)
    return HEAD.pack(*head) + data


class Packet:
    def __init__(self, raw):
        head = HEAD.unpack(raw[:32])
        self.raw = raw
        self.data = raw[32:]
        (self.length, self.seq, self.ack, self.sum, self.flags, self.pad, self.echo, dst, self.sport, self.dport, src) = head
        self.src, self.dst = ip_text(src), ip_text(dst)
        self.intact = len(self.data) == self.length and self.sum == keyed_sum(head, self.data)
        self.system_reset = self.sum == 0 and self.flags == RST and not self.data


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def breaks(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.write(f"BROKEN {rule}: {text}")


async def http(address, method, path, body=None, timeout=1.0):
    """Sends one request on a new connection; returns (status, body), or None without an answer."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
            )
            await writer.drain()
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            return int(head.split()[1]), rest
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


async def serve_http(address, handler, silent=lambda opened_at, path: False):
    """Serves HTTP/1.1 with keep-alive; `handler(method, path, body, own_ip)` returns (status, bytes, headers).

    A connection stays open and delivers nothing more once `silent` returns True for the time at which it
    was opened and the path of its request."""

    async def connection(reader, writer):
        opened_at = time.monotonic()
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, path, _ = line.decode().split(" ", 2)
                length = 0
                while True:
                    header = (await reader.readline()).decode().strip()
                    if not header:
                        break
                    name, _, value = header.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                status, answer, extra = await handler(method, path, body, writer.get_extra_info("sockname")[0])
                if silent(opened_at, path):
                    await asyncio.sleep(3600)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, *address, backlog=256)


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, watches.

    The processes of each zone call it at an address of their own."""

    HISTORY_S = 20.0

    def __init__(self, addresses):
        self.addresses = addresses  # one for each zone
        self.revision = 1
        self.objects = {}
        self.history = []  # (time, revision, kind, event as JSON bytes)
        self.dropped = 0  # revision up to which the history is gone
        self.changed = asyncio.Condition()
        self.silent_before = {}  # kind: watches whose connections were opened before this time are silent for good
        self.watches = {}  # (kind, address called): end of the last watch
        self.versions = {}  # kind: [(time, objects)], oldest first, for reads with staleOk
        self.stale_s = lambda door: 0.0  # age of the data that reads with staleOk return, by the address called

    async def start(self):
        for address in self.addresses:
            await serve_http(address, self.handle, self._is_silent)

    def _is_silent(self, opened_at, path):
        kind = path.partition("?")[0].strip("/").split("/")[1:2]
        return "watch=" in path and opened_at < self.silent_before.get("".join(kind), 0.0)

    async def put(self, kind, name, spec, status=None):
        """Writes an object; the returned time is the acknowledgement."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False}
        self.objects.setdefault(kind, {})[name] = {"meta": meta, "spec": spec, "status": status}
        await self._changed(kind, name, False)
        return time.monotonic()

    async def delete(self, kind, name):
        self.revision += 1
        await self._changed(kind, name, True)
        return time.monotonic()

    def _keep_version(self, kind):
        versions = self.versions.setdefault(kind, [])
        versions.append((time.monotonic(), dict(self.objects.get(kind, {}))))
        del versions[:-50]

    def _version(self, kind, age):
        limit = time.monotonic() - age
        found = {}
        for at, objects in self.versions.get(kind, []):
            if at <= limit:
                found = objects
        return found

    async def _changed(self, kind, name, deleted):
        event = {"deleted": deleted, "object": self.objects[kind][name]}
        if deleted:
            self.objects[kind].pop(name, None)
        self._keep_version(kind)
        now = time.monotonic()
        self.history.append((now, self.revision, kind, json.dumps(event).encode()))
        while self.history and self.history[0][0] < now - self.HISTORY_S:
            self.dropped = self.history.pop(0)[1]
        async with self.changed:
            self.changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        while self.history and self.history[0][0] < now - self.HISTORY_S:
            self.dropped = self.history.pop(0)[1]

    async def handle(self, method, path, body, door):
        await asyncio.sleep(0.004)
        path, _, text = path.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&") if part)
        parts = path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "objects":
            return 404, b"{}", ""
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        held = self.objects.setdefault(kind, {})
        if method == "GET" and query.get("staleOk") == "1":
            held = self._version(kind, self.stale_s(door))
        if method == "GET" and name:
            return (200, json.dumps(held[name]).encode(), "") if name in held else (404, b"{}", "")
        if method == "GET" and "watch" in query:
            wait = int(query.get("waitMs", "0")) / 1000
            self.watches[(kind, door)] = time.monotonic() + wait
            return await self._watch(kind, int(query["watch"]), wait)
        if method == "GET":
            return self._list(held, query.get("after", ""))
        spec = json.loads(body) if body else {}
        expected = (spec.get("meta") or {}).get("revision")
        if method == "POST":
            name = name or spec["meta"]["name"]
            if name in held:
                return 409, json.dumps(held[name]).encode(), ""
        elif name not in held:
            return 404, b"{}", ""
        elif expected is not None and expected != held[name]["meta"]["revision"]:
            return 409, json.dumps(held[name]).encode(), ""
        if method == "DELETE":
            await self.delete(kind, name)
            return 200, b"{}", ""
        if method == "PUT" and held[name]["spec"] == spec.get("spec"):
            return 200, json.dumps(held[name]).encode(), ""
        await self.put(kind, name, spec.get("spec"))
        return 200, json.dumps(held[name]).encode(), ""

    def _list(self, held, after):
        items, size, more = [], 0, False
        for name in sorted(held):
            if name <= after and after:
                continue
            item = json.dumps(held[name]).encode()
            if items and (len(items) >= 500 or size + len(item) > 1_048_576):
                more = True
                break
            items.append(item)
            size += len(item)
        tail = f'],"more":{"true" if more else "false"},"storeRevision":{self.revision}}}'
        return 200, b'{"items":[' + b",".join(items) + tail.encode(), ""

    async def _watch(self, kind, after, wait):
        end = time.monotonic() + wait
        while True:
            self._expire()
            if after < self.dropped or after > self.revision:
                return 410, b"{}", ""
            events = [event for _, revision, of, event in self.history if revision > after and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[' + b",".join(events) + f'],"storeRevision":{self.revision}}}'.encode(), ""
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), min(left, 1.0))
            except asyncio.TimeoutError:
                pass


class Process:
    """One lavenderseam-vm process with its settings file."""

    def __init__(self, deployment, name, role, settings):
        self.deployment, self.name, self.role, self.child = deployment, name, role, None
        self.path = os.path.join(deployment.folder, f"{name}.yaml")
        with open(self.path, "w") as file:
            json.dump(settings, file)  # JSON is YAML

    def start(self):
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        environment = {"LAVENDERSEAM_CONFIG": self.path, "PATH": os.environ.get("PATH", "")}
        self.child = subprocess.Popen([PROGRAM, self.role], cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.deployment.record.write(f"start {self.name}")

    def send_signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)
            self.deployment.record.write(f"signal {signal.Signals(number).name} to {self.name}")

    async def ended(self):
        while self.child.poll() is None:
            await asyncio.sleep(0.005)
        self.deployment.record.write(f"{self.name} ended with {self.child.returncode}")

    async def restart(self, number=signal.SIGTERM, down_s=0.3):
        self.send_signal(number)
        await self.ended()
        await asyncio.sleep(down_s)
        self.start()


class Deployment:
    """A small deployment: balancers on edge machines, agents beside targets, a store, a router."""

    def __init__(self, folder, balancers=2, heartbeat_ms=1200, bounds=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/lavenderseam-vm is not built")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="lavenderseam-review-")
        self.network = self._free_network()
        self.store = Store([(self.ip(9, index + 1), STORE) for index in range(3)])
        self.heartbeat_ms = heartbeat_ms
        self.bounds = {
            "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
            "graceS": 6, "slackMs": 200, "configApplyMs": 3000, "downgradeSlackMs": 250, "maxSkewMs": 12000,
            "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "reorderMs": 2000,
            "flowMaxS": 60, **(bounds or {}),
        }
        self.zones = ["a", "b", "c"]
        self.balancer_ips = [self.ip(1, index + 1) for index in range(balancers)]
        self.balancers = [self._balancer(index) for index in range(balancers)]
        self.misses = [2] * balancers
        self.targets, self.clients, self.tasks, self.stopped = [], [], [], False

    def _free_network(self):
        numbers = list(range(40, 220))
        random.shuffle(numbers)
        for number in numbers:
            # Held until the end, so that no other script takes the same network at the same time.
            self.claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self.claim.bind((f"127.{number}.250.1", DATAGRAM))
                for third in (1, 2, 9, 64):
                    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                        probe.bind((f"127.{number}.{third}.1", DATAGRAM))
                    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{number}.{third}.1", STORE))
                return number
            except OSError:
                self.claim.close()
        raise CannotRun("no free loopback network")

    def ip(self, third, fourth):
        return f"127.{self.network}.{third}.{fourth}"

    def settings(self, name, ip, zone, machine_class, serves, listen, more=None):
        return {
            "nodeId": name, "role": machine_class, "machineClass": machine_class, "serves": serves, "ip": ip,
            "zone": zone, "region": "r", "zones": {z: "r" for z in self.zones}, "listen": listen,
            "internalPortRange": [7720, 7735],
            "seeds": [f"{self.ip(1, index + 1)}:{CONTROL}" for index in range(2)],
            "bootstrap": True, "inFaultBudget": False, "dataDir": None, "discovery": "local", "entry": "announce",
            "heartbeatMs": self.heartbeat_ms, "bounds": self.bounds, "hash": "steady", "deployMode": "agent",
            "platform": {
                "addr": f"{self.ip(9, self.zones.index(zone) + 1)}:{STORE}", "deployMode": "objects", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
            **(more or {}),
        }

    def add_balancer(self):
        """Starts a balancer at a new address, which takes no part in the rotation."""
        index = len(self.balancer_ips)
        self.balancer_ips.append(self.ip(1, index + 1))
        self.balancers.append(self._balancer(index))
        self.balancers[-1].start()
        return self.balancers[-1]

    def replace_balancers(self):
        """Creates balancers at new addresses, one for each; the old ones are gone for good."""
        first = len(self.balancer_ips)
        count = len(self.misses)
        for index in range(first, first + count):
            self.balancer_ips.append(self.ip(1, index + 1))
            self.balancers.append(self._balancer(index, first))
        for process in self.balancers[first:]:
            process.start()
        self.misses[:] = [0] * count + [2] * count
        self.misses[:count] = [99] * count
        for index in range(first, first + count):
            self.tasks.append(asyncio.create_task(self._probe(index)))

    def _balancer(self, index, first_seed=0):
        ip = self.ip(1, index + 1)
        listen = {"datagramAddr": f"{ip}:{DATAGRAM}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}"}
        name = f"edge-{self.zones[index % 3]}-{index}"
        seeds = {"seeds": [f"{self.ip(1, first_seed + seed + 1)}:{CONTROL}" for seed in range(2)]}
        zone = self.zones[index % 3]
        settings = self.settings(name, ip, zone, "edge", ["edge", "control_plane"], listen, seeds)
        return Process(self, name, "balancer", settings)

    def add_target(self, service, zone=None, slots=9, **options):
        index = len(self.targets)
        ip = self.ip(2, index + 1)
        zone = zone or self.zones[index % 3]
        listen = {
            "datagramAddr": f"{ip}:{DATAGRAM}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}",
            "outbound": f"{ip}:{OUTBOUND}",
        }
        more = {"app": f"{ip}:{APP}", "service": service}
        settings = self.settings(f"side-{zone}-{index}", ip, zone, "side", ["side"], listen, more)
        agent = Process(self, f"side-{zone}-{index}", "agent", settings)
        target = Target(self, agent, ip, service, zone, slots, **options)
        self.targets.append(target)
        return target

    def add_client(self):
        client = Client(self, self.ip(64, len(self.clients) + 1))
        self.clients.append(client)
        return client

    async def start(self):
        await self.store.start()
        for process in self.balancers + [target.agent for target in self.targets]:
            process.start()
        for index in range(len(self.balancers)):
            self.tasks.append(asyncio.create_task(self._probe(index)))
        for client in self.clients:
            await client.start()

    async def _probe(self, index):
        while True:
            answer = await http((self.balancer_ips[index], READY), "GET", "/readyz", timeout=0.45)
            self.misses[index] = 0 if answer and answer[0] == 200 else self.misses[index] + 1
            await asyncio.sleep(0.5)

    def balancer_for(self, client_ip, port, host, service_port):
        """The router's steady hash over the balancers in rotation (all of them if none is)."""
        rotation = [index for index, misses in enumerate(self.misses) if misses < 2]
        candidates = rotation or range(len(self.balancers))
        flow = f"{client_ip}:{port}>{host}:{service_port}"
        best = max(candidates, key=lambda index: zlib.crc32(f"{flow}|{index}".encode()))
        return self.balancer_ips[best], DATAGRAM

    async def wait_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(misses == 0 for misses in self.misses):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the balancers are not ready")

    def stop(self):
        if self.stopped:
            return
        self.stopped = True
        for task in self.tasks:
            task.cancel()
        for target in self.targets:
            target.stop()
        processes = self.balancers + [target.agent for target in self.targets]
        for process in processes:
            if process.child and process.child.poll() is None:
                process.child.kill()
        for process in processes:
            if process.child:
                process.child.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class ServerFlow:
    def __init__(self, isn):
        self.isn, self.open, self.next_in, self.next_out = isn, False, None, isn + 1
        self.opened_at = self.used_at = time.monotonic()
        self.last, self.acked = None, isn + 1


class Target(asyncio.DatagramProtocol):
    """A target: answers requests of one packet, sends heartbeats, bounces what it doesn't hold."""

    def __init__(self, deployment, agent, ip, service, zone, slots, work_s=0.02, heartbeat_s=None):
        self.deployment, self.agent, self.ip = deployment, agent, ip
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.heartbeat_s = heartbeat_s or deployment.heartbeat_ms / 1000
        self.alive, self.flows, self.boot, self.tasks = False, {}, 0, []
        self.syns = []  # (time, port of the flow) of the openers that were taken
        self.runs = []  # request ids

    def connection_made(self, transport):
        self.transport = transport

    async def start(self, clock_ahead_ms=0, warmup_s=0.0, slow=False):
        """Starts a boot. `clock_ahead_ms` is what the machine's clock shows too much at this moment."""
        self.boot += 1
        self.id = f"i-{self.ip.replace('.', '-')}-{self.boot}"
        self.born = int(time.time() * 1000) + clock_ahead_ms
        self.sequence, self.state, self.flows = 0, "ready", {}
        self.started = time.monotonic()
        self.warm_at = self.started + warmup_s
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, APP))
        self.health = await serve_http((self.ip, APP), self._health)
        self.alive = True
        self.tasks = [asyncio.create_task(self._heartbeats())]
        self.deployment.record.write(f"target {self.id} of {self.service} starts, born {self.born}")

    def stop(self):
        if not self.alive:
            return
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.health.close()
        self.deployment.record.write(f"target {self.id} ends")

    async def _health(self, method, path, body, own_ip):
        return (200 if self.state == "ready" else 503), b"{}", ""

    async def heartbeat(self):
        self.sequence += 1
        left = max(0, int((self.warm_at - time.monotonic()) * 1000))
        body = {
            "service": self.service, "addr": f"{self.ip}:{APP}", "zone": self.zone, "version": "v1",
            "concurrency": self.slots, "state": self.state, "warmupLeftMs": left, "sequence": self.sequence,
            "born": self.born,
        }
        answer = await http((self.ip, CONTROL), "POST", f"/Instances.Heartbeat/{self.id}", body)
        if answer is None or answer[0] != 200:
            self.deployment.record.write(f"heartbeat {self.sequence} of {self.id}: {answer and answer[0]}")
            return False
        return True

    async def _heartbeats(self):
        due = time.monotonic()
        while True:
            if not await self.heartbeat():
                await asyncio.sleep(0.1)
                due = time.monotonic()
                continue
            due += self.heartbeat_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def _send(self, flow, flags, seq, ack, data=b""):
        client, port, host, service_port = flow
        raw = encode(host, service_port, client, port, flags, seq, ack, data)
        self.transport.sendto(raw, (self.ip, OUTBOUND))

    def _bounce(self, packet):
        raw = bytearray(packet.raw)
        raw[14] |= BOUNCED
        raw[15] = 0
        self.transport.sendto(bytes(raw), (self.ip, OUTBOUND))

    def holds(self, flow):
        held = self.flows.get(flow)
        return bool(self.alive and held and held.open)

    def error_received(self, error):
        pass

    def datagram_received(self, raw, address):
        packet = Packet(raw)
        record = self.deployment.record
        if not packet.intact:
            return record.breaks("UNASKED", f"target {self.id} got a packet that its sender didn't write so")
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            if flow not in self.flows:
                self.flows[flow] = ServerFlow(random.getrandbits(32))
                self.syns.append((time.monotonic(), packet.sport))
            held = self.flows[flow]
            if not held.open:
                self._send(flow, SYN | ACK, held.isn, packet.seq + 1)
            return None
        held = self.flows.get(flow)
        if held is None:
            return self._bounce(packet)
        if not held.open:
            if packet.ack != (held.isn + 1) & 0xFFFFFFFF:
                return self._bounce(packet)
            held.open, held.next_in, held.opened_at = True, packet.seq, time.monotonic()
        held.used_at = time.monotonic()
        if packet.flags & RST:
            self.flows.pop(flow, None)
            return None
        if packet.flags & FIN:
            self._send(flow, FIN | ACK, held.next_out, packet.seq + 1)
            self.flows.pop(flow, None)
            return None
        if not packet.data:
            return None
        if packet.seq != held.next_in & 0xFFFFFFFF:
            if held.last:
                self._send(flow, ACK, *held.last)
            return None
        held.next_in = (held.next_in + len(packet.data)) & 0xFFFFFFFF
        request = packet.data.decode()
        self.runs.append(request)
        self.tasks.append(asyncio.create_task(self._answer(flow, held, request)))
        return None

    async def _answer(self, flow, held, request):
        await asyncio.sleep(self.work_s)
        if self.flows.get(flow) is not held:
            return
        data = f"ok {request} {self.id}".encode()
        held.last = (held.next_out, held.next_in, data)
        held.next_out = (held.next_out + len(data)) & 0xFFFFFFFF
        self._send(flow, ACK, *held.last)


class ClientFlow:
    def __init__(self, client, port, host, service_port):
        self.client, self.port, self.host, self.service_port = client, port, host, service_port
        self.key = (client.ip, port, host, service_port)
        self.open, self.seq, self.ack = False, random.getrandbits(32), 0
        self.event, self.answer, self.reset, self.opened_at = asyncio.Event(), None, None, None

    def send(self, flags, data=b"", ack=None):
        raw = encode(self.client.ip, self.port, self.host, self.service_port, flags, self.seq, self.ack if ack is None else ack, data)
        router = self.client.deployment.balancer_for(self.client.ip, self.port, self.host, self.service_port)
        self.client.transport.sendto(raw, router)

    async def connect(self):
        """Opens the flow: a SYN, copies after 200 and 600 ms, an end after 1.4 s or at a reset."""
        start = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, ack=copy)
            try:
                await asyncio.wait_for(self.event.wait(), max(0.001, start + until - time.monotonic()))
                break
            except asyncio.TimeoutError:
                continue
        if self.reset:
            return "reset"
        if not self.open:
            return "no answer"
        self.send(ACK)
        self.opened_at = time.monotonic()
        return "open"

    async def request(self, text, limit_s=3.0):
        """Sends a request of one packet and retransmits it; returns the answer, "reset" or "no answer"."""
        self.event.clear()
        self.answer = None
        end, pause = time.monotonic() + limit_s, 0.2
        data = text.encode()
        while True:
            self.send(ACK, data)
            try:
                left = end - time.monotonic()
                await asyncio.wait_for(self.event.wait(), max(0.001, min(pause, left)))
            except asyncio.TimeoutError:
                pass
            if self.reset:
                return "reset"
            if self.answer is not None:
                self.seq = (self.seq + len(data)) & 0xFFFFFFFF
                self.send(ACK)
                return self.answer
            if time.monotonic() >= end:
                return "no answer"
            pause = min(pause * 2, 1.6)

    def close(self):
        if self.open and not self.reset:
            self.send(FIN | ACK)
        self.client.flows.pop((self.port, self.host, self.service_port), None)


class Client(asyncio.DatagramProtocol):
    """A client address with any number of flows."""

    def __init__(self, deployment, ip):
        self.deployment, self.ip, self.flows, self.port = deployment, ip, {}, 20_000

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, error):
        pass

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, DATAGRAM))

    def flow(self, host, service_port):
        self.port += 1
        flow = ClientFlow(self, self.port, host, service_port)
        self.flows[(self.port, host, service_port)] = flow
        return flow

    def datagram_received(self, raw, address):
        packet = Packet(raw)
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow is None:
            return
        if packet.system_reset:
            distance = min((packet.seq - flow.ack) & 0xFFFFFFFF, (flow.ack - packet.seq) & 0xFFFFFFFF)
            if not flow.open or distance <= IN_FLIGHT_WINDOW:
                flow.reset = ("open" if flow.open else "not open", time.monotonic())
                flow.event.set()
            return
        if not packet.intact:
            return self.deployment.record.breaks("MIXED", f"client {flow.key} got a packet that its sender didn't write so")
        if packet.flags & SYN and packet.flags & ACK:
            if not flow.open:
                flow.open, flow.ack = True, (packet.seq + 1) & 0xFFFFFFFF
                flow.seq = (flow.seq + 1) & 0xFFFFFFFF
                flow.event.set()
            return
        if packet.data and packet.seq == flow.ack:
            flow.ack = (flow.ack + len(packet.data)) & 0xFFFFFFFF
            flow.answer = packet.data.decode()
            flow.event.set()


def route(host, port, service, kind="idempotent", timeout_ms=2500):
    return {
        "name": f"r-{host}-{port}", "host": host, "pathPrefix": f"/{port}/", "kind": kind, "timeoutMs": timeout_ms,
        "aimMs": 250, "priority": 2, "service": service, "maxAttempts": 2,
    }


def desired_state(version, routes, services, idle_ms=15000, warmup_s=2.0, warmup_per_s=0.0):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False,
             "warmupS": warmup_s, "warmupPerS": warmup_per_s}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idle_ms},
    }


def main(case):
    """Runs `case(folder, trouble)`, which returns the finished deployment, and exits as the review asks."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1")
    deployment = None

    async def run():
        nonlocal deployment
        deployment = case.deployment(folder)
        try:
            await asyncio.wait_for(case.play(deployment, trouble), 115)
        finally:
            deployment.stop()

    def end(number, frame):
        raise CannotRun(f"ended by signal {number}")

    signal.signal(signal.SIGTERM, end)
    try:
        asyncio.run(run())
    except BaseException as error:  # an error of the case itself must not look like a broken rule
        print(f"could not run: {error!r}")
        if deployment is not None:
            deployment.stop()
        sys.exit(2)
    broken = deployment.record.broken
    deployment.record.write(f"result: {'broken' if broken else 'held'}")
    for line in broken[:5]:
        print(line)
    print("broken" if broken else "held", f"({len(broken)} breaks)")
    sys.exit(1 if broken else 0)

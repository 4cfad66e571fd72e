"""Small deployment of the platform programs on loopback, with stand-ins of hosts, clients and the operator.

Everything runs on one asyncio loop. The platform programs are separate processes, started with the commands of
deploy/system.toml. Nothing here changes the machine; all addresses are in 127.0.0.0/8.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL = ["target/bin/lw-platform-control"]
ENTRY = ["target/bin/lw-platform-entry"]

HEADER = struct.Struct(">IIIIHHIHBI")
SYN, ACK, RST, FIN = 128, 64, 4, 1
HEARTBEAT_MS = 1200
KEY = 0x5EED
RESET_WINDOW = 76800


class CannotRun(Exception):
    """The case could not be set up on this machine."""


def to_number(dotted):
    return int.from_bytes(bytes(int(part) for part in dotted.split(".")), "big")


def to_dotted(number):
    return ".".join(str(byte) for byte in number.to_bytes(4, "big"))


class Packet:
    """One packet of PROTOCOL.md, 'Packets'."""

    def __init__(self, echo, seq, ack, src, dport, sport, dst, flags, data=b""):
        self.echo, self.seq, self.ack, self.src = echo, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, src
        self.dport, self.sport, self.dst, self.flags, self.data = dport, sport, dst, flags, data

    def sum(self):
        covered = (self.seq, self.ack, self.src, self.dport, self.sport, self.dst, self.flags, self.data)
        return zlib.crc32(repr(covered).encode(), KEY) | 1

    def encode(self):
        head = (self.echo, self.seq, self.ack, self.src, self.dport, self.sport, self.dst)
        return HEADER.pack(*head, len(self.data), self.flags, self.sum()) + self.data


def decode(data):
    """Returns the packet and the sum that it carries, or None for another datagram."""
    if len(data) < HEADER.size:
        return None, 0
    echo, seq, ack, src, dport, sport, dst, size, flags, checksum = HEADER.unpack(data[: HEADER.size])
    return Packet(echo, seq, ack, src, dport, sport, dst, flags, data[HEADER.size : HEADER.size + size]), checksum


async def call(address, method, path, body=b"", timeout=1.0):
    """One HTTP call, following a 307 twice. Returns (status, body), or None without a response."""
    for _ in range(3):
        try:
            status, content, location = await asyncio.wait_for(exchange(address, method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return None
        if status != 307:
            return status, content
        address, _, path = location.removeprefix("http://").partition("/")
        path = "/" + path
    return None


async def exchange(address, method, path, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        writer.write((head + f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body)
        await writer.drain()
        data = await reader.read(-1)
    finally:
        writer.close()
    header, _, content = data.partition(b"\r\n\r\n")
    lines = header.decode().split("\r\n")
    fields = {key.lower(): value for key, _, value in (line.partition(": ") for line in lines[1:])}
    return int(lines[0].split(" ")[1]), content, fields.get("location", "")


class Record:
    """Record of a case: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Machine:
    """A process of the system on an address of its own."""

    def __init__(self, system, name, ip, zone, command, settings):
        self.system, self.name, self.ip, self.zone, self.command = system, name, ip, zone, command
        self.settings = os.path.join(system.folder, name + ".json")
        self.write_settings(settings)
        self.process = None
        self.in_rotation = True

    def write_settings(self, settings):
        self.content = settings
        with open(self.settings + ".next", "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=2)
        os.replace(self.settings + ".next", self.settings)

    async def start(self):
        log = open(os.path.join(self.system.folder, self.name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["LACEWINGWALK_SETTINGS"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            *self.command, "--settings=" + self.settings, cwd=REPOSITORY, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.started_at = time.monotonic()
        self.system.record.add(f"start {self.name} {self.ip} pid {self.process.pid}")

    def send_signal(self, number):
        self.system.record.add(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def stop(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(number)
            except ProcessLookupError:
                pass
            await self.process.wait()
        self.process = None


class System:
    """Control machines, entry machines, hosts, clients and the operator of one run."""

    def __init__(self, record, zones=("zone-a", "zone-b", "zone-c"), controls=3, entries_per_zone=1, losses=1):
        self.record = Record(record)
        self.temporary = tempfile.TemporaryDirectory(prefix="lw-review-")
        self.folder = self.temporary.name
        self.zones, self.losses = zones, losses
        self.block = self.free_block()
        self.packet_port, self.ready_port, self.control_port, self.host_port = self.ports[:4]
        self.internal = self.ports[4]
        self.metrics_port = self.ports[5]
        self.seeds = [f"127.{self.block}.1.{i + 1}:{self.control_port}" for i in range(min(controls, 3))]
        self.controls = [self.make_control(i, f"127.{self.block}.1.{i + 1}", zones[i % len(zones)], self.seeds)
                         for i in range(controls)]
        self.entries = []
        for position, zone in enumerate(zones):
            for i in range(entries_per_zone):
                self.entries.append(self.make_entry(zone, f"127.{self.block}.{10 + position}.{i + 1}"))
        self.hosts, self.clients, self.tasks = [], [], []
        self.broken = []
        # The host that holds each open flow, and the hosts that reset it, by the client's address and port.
        self.holders, self.resetters = {}, {}

    def free_block(self):
        for _ in range(50):
            block = random.randint(20, 250)
            base = random.randint(20000, 50000)
            # Packets, readiness, control, hosts, first internal port (16 in all), metrics.
            ports = [base, base + 1, base + 2, base + 3, base + 10, base + 30]
            if all(self.is_free(f"127.{block}.1.1", port) for port in [*ports, *range(base + 10, base + 26)]):
                self.ports = ports
                return block
        raise CannotRun("no free ports")

    @staticmethod
    def is_free(ip, port):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            return False
        return True

    def make_control(self, number, ip, zone, seeds, first_start=True):
        return Machine(self, f"control-{number}", ip, zone, CONTROL, {
            "address": ip,
            "availability_zone": zone,
            "availability_zones": {name: "region" for name in self.zones},
            "control_listen": f"{ip}:{self.control_port}",
            "first_internal_port": self.internal,
            "last_internal_port": self.internal + 15,
            "metrics_port": self.metrics_port,
            "seeds": seeds,
            "first_start": first_start,
            "beat_ms": HEARTBEAT_MS,
            "machine_losses": self.losses,
            "data_directory": os.path.join(self.folder, f"data-{number}"),
        })

    def make_entry(self, zone, ip):
        return Machine(self, f"entry-{ip}", ip, zone, ENTRY, {
            "address": ip,
            "availability_zone": zone,
            "packet_listen": f"{ip}:{self.packet_port}",
            "ready_listen": f"{ip}:{self.ready_port}",
            "first_internal_port": self.internal,
            "last_internal_port": self.internal + 15,
            "metrics_port": self.metrics_port,
            "seeds": self.seeds,
            "beat_ms": HEARTBEAT_MS,
            "apply_ms": 3000,
            "grace_s": 6,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
        })

    def control_addresses(self):
        return [f"{control.ip}:{self.control_port}" for control in self.controls]

    def break_rule(self, text):
        self.record.add("RULE BROKEN " + text)
        self.broken.append(text)

    async def start(self):
        for program in (CONTROL[0], ENTRY[0]):
            if not os.access(os.path.join(REPOSITORY, program), os.X_OK):
                raise CannotRun(program + " is not built")
        await asyncio.gather(*(machine.start() for machine in self.controls + self.entries))

    async def order(self, config, tries=40):
        """The operator sends a configuration until it gets a clear answer. Returns the status."""
        body = config if isinstance(config, bytes) else json.dumps(config).encode()
        for number in range(tries):
            address = random.choice(self.control_addresses())
            answer = await call(address, "POST", "/v1/Config.Replace", body)
            self.record.add(f"order of {len(body)} B to {address} -> {answer[0] if answer else 'no answer'}")
            if answer and answer[0] in (200, 400, 409, 412, 413, 422):
                return answer[0]
            await asyncio.sleep(min(0.1 * (number + 1), 1.0))
        return None

    async def read_config(self, address):
        answer = await call(address, "GET", "/v1/Config.Read")
        if not answer or answer[0] != 200:
            return None
        return json.loads(answer[1])

    async def watch_rotation(self):
        """The routers' readiness checks: an entry is out of rotation after two misses, until it responds with 200."""
        misses = {entry: 0 for entry in self.entries}

        async def check(entry):
            answer = await call(f"{entry.ip}:{self.ready_port}", "GET", "/v1/readyz", timeout=0.4)
            misses[entry] = 0 if answer and answer[0] == 200 else misses[entry] + 1
            rotated = misses[entry] < 2 and (entry.in_rotation or misses[entry] == 0)
            if rotated != entry.in_rotation:
                self.record.add(f"{entry.name} is {'in' if rotated else 'out of'} rotation")
            entry.in_rotation = rotated

        while True:
            await asyncio.gather(*(check(entry) for entry in self.entries))
            await asyncio.sleep(0.5)

    async def wait_until_ready(self, limit=20.0):
        deadline = time.monotonic() + limit
        for entry in self.entries:
            while True:
                answer = await call(f"{entry.ip}:{self.ready_port}", "GET", "/v1/readyz")
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(entry.name + " did not become ready")
                await asyncio.sleep(0.1)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            host.close()
        for client in self.clients:
            client.close()
        await asyncio.gather(*(machine.stop() for machine in self.controls + self.entries))
        self.temporary.cleanup()


class Host(asyncio.DatagramProtocol):
    """A host: answers the packets of its flows, runs requests and reports to the system."""

    def __init__(self, system, number, service, zone, born=None, ip=None):
        self.system, self.number, self.service, self.zone = system, number, service, zone
        self.ip = ip or f"127.{system.block}.100.{number % 200 + 1}"
        self.id = random.getrandbits(31) | 1
        self.born = born or int(time.time() * 1000)
        self.sequence, self.state, self.alive = 0, "ready", True
        self.beat_address = None
        self.handshakes, self.flows = {}, {}
        self.ran = 0
        self.drained_at = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.system.host_port))
        self.task = asyncio.create_task(self.beat_forever())
        self.system.hosts.append(self)
        self.system.record.add(f"host i-{self.id:08x} of {self.service} at {self.ip}:{self.system.host_port}")

    def close(self):
        if self.alive:
            self.alive = False
            self.task.cancel()
            self.transport.close()

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def beat_body(self):
        return {"Service": self.service, "Address": f"{self.ip}:{self.system.host_port}", "Zone": self.zone,
                "Version": "v1", "Slots": 3, "State": self.state, "ColdRemainingMs": 0,
                "Sequence": self.sequence, "born": self.born}

    async def beat(self):
        self.sequence += 1
        body = json.dumps(self.beat_body()).encode()
        others = self.system.control_addresses()
        random.shuffle(others)
        for address in [self.beat_address] * (self.beat_address is not None) + others:
            answer = await call(address, "POST", f"/v1/Instances.Heartbeat/i-{self.id:08x}", body)
            self.beat_address = None
            if answer and 200 <= answer[0] < 300:
                self.beat_address = json.loads(answer[1] or b"{}").get("HeartbeatAddr")
                return True
        return False

    def datagram_received(self, data, _sender):
        if int.from_bytes(data[:8], "big") not in (0, self.id):
            return
        packet, checksum = decode(data[8:])
        if packet is None or checksum != packet.sum():
            self.system.break_rule(f"UNASKED: host i-{self.id:08x} got a packet that its sender did not write")
            return
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self.on_opening(packet, flow)
            return
        if flow not in self.flows and self.handshakes.get(flow) == (packet.ack - 1) & 0xFFFFFFFF:
            self.flows[flow] = {"next": None, "answers": {}, "seq": packet.ack}
            self.handshakes.pop(flow)
            self.system.holders[flow[:2]] = self
            self.system.record.add(f"flow of {to_dotted(packet.src)}:{packet.sport} open at host i-{self.id:08x} "
                                   f"(echo {packet.echo:08x}, ack {packet.ack:08x}, {len(packet.data)} B)")
        if packet.flags & RST:
            self.flows.pop(flow, None)
        elif flow not in self.flows:
            self.system.resetters.setdefault(flow[:2], []).append(self)
            self.system.record.add(f"host i-{self.id:08x} resets {to_dotted(packet.src)}:{packet.sport}, no such flow "
                                   f"(flags {packet.flags}, echo {packet.echo:08x}, ack {packet.ack:08x}, "
                                   f"{len(packet.data)} B; its own seq {self.handshakes.get(flow, 0):08x})")
            self.send(packet, RST, packet.ack)
        elif packet.data:
            asyncio.get_running_loop().create_task(self.run(packet, flow))
        elif packet.flags & FIN:
            del self.flows[flow]
            self.send(packet, FIN | ACK, packet.ack)

    def on_opening(self, packet, flow):
        if flow not in self.handshakes:
            self.handshakes[flow] = random.getrandbits(31)
        self.send_handshake(packet, flow)

    def send_handshake(self, packet, flow):
        self.send(packet, SYN | ACK, self.handshakes[flow])

    async def run(self, packet, flow):
        state = self.flows[flow]
        if packet.seq in state["answers"]:
            answer = state["answers"][packet.seq]
            if answer is None:
                return
        else:
            state["answers"][packet.seq] = None
            self.ran += 1
            await asyncio.sleep(0.03)
            answer = (b"HTTP/1.1 200 OK\r\nX-Server-Signature: i-%08x\r\nContent-Length: %d\r\n\r\n%s"
                      % (self.id, 8, b"%08x" % zlib.crc32(packet.data)))
            if flow not in self.flows:
                return
            state["answers"][packet.seq] = answer
        if self.alive:
            self.send(packet, ACK, packet.ack, answer)

    def send(self, packet, flags, seq, data=b""):
        reply = Packet(packet.echo, seq, packet.seq + max(len(packet.data), 1), packet.dst, packet.sport,
                       packet.dport, packet.src, flags, data)
        self.transport.sendto(reply.encode(), (to_dotted(packet.src), self.system.packet_port))


class Client(asyncio.DatagramProtocol):
    """A client: opens flows through the entry machines of its zone and sends requests on them."""

    def __init__(self, system, number, zone):
        self.system, self.zone = system, zone
        self.ip = f"127.{system.block}.200.{number + 1}"
        self.flows = {}
        self.next_port = random.randint(10000, 30000)
        self.counts = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.system.packet_port))
        self.system.clients.append(self)

    def close(self):
        self.transport.close()

    def count(self, outcome):
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def datagram_received(self, data, _sender):
        packet, checksum = decode(data)
        flow = self.flows.get(packet.dport) if packet else None
        if flow is None:
            return
        if checksum == 0 and packet.flags & RST:
            last = flow["last_ack"]
            near = (packet.seq - last) & 0xFFFFFFFF <= RESET_WINDOW or (last - packet.seq) & 0xFFFFFFFF <= RESET_WINDOW
            if flow["open"] and not near:
                return
            flow["reset_by"] = "the system"
        elif checksum != packet.sum():
            self.system.break_rule("MIXED: a client got a packet that its sender did not write")
            return
        elif packet.flags & RST:
            flow["reset_by"] = "a host"
        flow["echo"] = packet.echo if checksum else flow["echo"]
        if packet.flags & SYN and not flow["open"] and flow["reset_by"] is None:
            flow["open"] = True
            flow["peer_seq"] = packet.seq + 1
            flow["seq"] += 1
            self.transmit(packet.dport, flow["route"], flow, ACK, flow["seq"], flow["peer_seq"])
        flow["inbox"].put_nowait(packet)

    def entry_for(self, port):
        entries = [entry for entry in self.system.entries if entry.zone == self.zone and entry.in_rotation]
        entries = entries or [entry for entry in self.system.entries if entry.in_rotation] or self.system.entries
        return max(entries, key=lambda entry: zlib.crc32(f"{entry.ip} {self.ip}:{port}".encode()))

    def transmit(self, port, route, flow, flags, seq, ack, data=b""):
        flow["last_ack"] = ack
        packet = Packet(flow["echo"] if not flags & SYN else 0, seq, ack, to_number(self.ip), route[1], port,
                        to_number(route[0]), flags, data)
        self.transport.sendto(packet.encode(), (self.entry_for(port).ip, self.system.packet_port))

    async def open(self, route):
        """Opens a flow. Returns (port, flow), or a text that says why it did not open."""
        self.next_port += 1
        port = self.next_port
        flow = {"inbox": asyncio.Queue(), "echo": 0, "open": False, "reset_by": None, "last_ack": 0,
                "route": route, "seq": random.getrandbits(30)}
        self.flows[port] = flow
        for number, wait in enumerate((0.2, 0.4, 0.8)):
            if flow["open"]:
                return port, flow
            self.transmit(port, route, flow, SYN, flow["seq"], number)
            deadline = time.monotonic() + wait
            while (left := deadline - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(flow["inbox"].get(), left)
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST and not flow["open"]:
                    del self.flows[port]
                    return "reset"
                if flow["open"]:
                    return port, flow
        if flow["open"]:
            return port, flow
        del self.flows[port]
        return "no answer"

    async def request(self, port, route, flow, text):
        """Sends one request on an open flow. Returns the signature of the host, 'reset by ...' or 'no answer'."""
        data = f"GET /{text} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {text}\r\n\r\n".encode()
        for wait in (0.2, 0.4, 0.8, 1.6):
            self.transmit(port, route, flow, ACK, flow["seq"], flow["peer_seq"], data)
            deadline = time.monotonic() + wait
            while (left := deadline - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(flow["inbox"].get(), left)
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    return f"reset by {flow['reset_by']}"
                if packet.data.endswith(b"%08x" % zlib.crc32(data)):
                    flow["seq"] += len(data)
                    return packet.data.split(b"X-Server-Signature: ")[1].split(b"\r\n")[0].decode()
        return "no answer"

    def finish(self, port, route, flow):
        self.transmit(port, route, flow, FIN | ACK, flow["seq"], flow["peer_seq"])
        self.flows.pop(port, None)


ROUTE = ("127.198.0.1", 8443)


def make_config(version, services, routes):
    """routes: list of (name, host, port, service, kind)."""
    return {
        "Version": version,
        "Routes": [{"Name": name, "Host": host, "PathPrefix": f"/{port}/", "Kind": kind, "TimeoutMs": 2000,
                    "TargetLatencyMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2}
                   for name, host, port, service, kind in routes],
        "Services": [{"Name": service, "HealthPath": "/healthz", "MaxConnections": 4444, "Protocol": "h1",
                      "Tls": False} for service in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
    }


def run_case(case, **arguments):
    """Runs the coroutine case(system, trouble) and ends the process with the exit code of the case.

    The first argument of the program is the path of the record.
    """

    async def run():
        system = System(sys.argv[1], **arguments)
        try:
            await system.start()
            await case(system, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await system.close()
        return system.broken

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 115))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for text in broken[:10]:
        print(text)
    print(f"{len(broken)} breaks of the rule" if broken else "the rule held")
    sys.exit(1 if broken else 0)

"""Callers, upstreams and a proxy with faults, all on one event loop."""

import asyncio
import json
import random
import time

from packets import ACK, FIN, RST, SYN, Packet, address, decode, text

PACKET_PORT = 8172
DRAIN_SECONDS = 3.0
CALM_SECONDS = 4.0
UNKNOWN_TAG_PART = 0.05


class Proxy:
    """Stands before one TCP port. New and open connections follow the present fault."""

    FAULTS = ("cut", "silent", "to_only", "from_only", "delay", "reset")

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.fault = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    def set_fault(self, fault):
        self.fault = fault
        if fault in ("cut", "reset"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.fault == "cut":
                await asyncio.sleep(0.05)
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(up_writer)
        try:
            await asyncio.gather(self.pump(reader, up_writer, "from_only"), self.pump(up_reader, writer, "to_only"))
        except asyncio.CancelledError:
            return  # The run is over.
        self.writers.discard(writer)
        self.writers.discard(up_writer)

    async def pump(self, reader, writer, blocked_by):
        try:
            while data := await reader.read(65536):
                # What a silent link takes is lost with its connection; the ends have to notice.
                while self.fault in ("silent", "cut", blocked_by):
                    await asyncio.sleep(0.05)
                if self.fault == "delay":
                    await asyncio.sleep(0.2)
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


async def call(host, method, path, body=b"", timeout=1.0, lose_answer=False):
    """One HTTP call; returns (status, body), or None without a clear answer. Follows a redirect twice."""
    for _ in range(3):
        try:
            result = await asyncio.wait_for(exchange(host, method, path, body, lose_answer), timeout)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError) as error:
            call.last_error = f"{host}{path}: {error!r}"
            return None
        if result is None or result[0] != 307:
            return result[:2] if result else None
        host, _, path = result[2].removeprefix("http://").partition("/")
        path = "/" + path
    return None


call.last_error = "none"


async def exchange(host, method, path, body, lose_answer):
    name, port = host.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        if lose_answer:
            await asyncio.sleep(0.05)
            return None
        data = await reader.read(-1)
    finally:
        writer.close()
    header, _, content = data.partition(b"\r\n\r\n")
    lines = header.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    return int(lines[0].split(" ")[1]), content, fields.get("Location", "")


class Upstream(asyncio.DatagramProtocol):
    """Answers flows, announces itself, and leaves with a drain or by a crash."""

    def __init__(self, world, ip, service, zone, number):
        self.world, self.ip, self.service, self.zone, self.number = world, ip, service, zone, number
        self.born = int(time.time() * 1000)
        self.flows, self.opening = {}, {}
        self.sequence = 0
        self.state = "ready"
        self.drained_at = None
        self.home = None
        self.alive = True

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, 9000))
        self.beats = asyncio.create_task(self.announce())

    def stop(self):
        self.alive = False
        self.beats.cancel()
        self.transport.close()

    async def announce(self):
        while self.alive:
            await self.beat()
            await asyncio.sleep(1.0)

    async def beat(self):
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": f"{self.ip}:9000",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 3,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        state = self.state
        apis = [control.api for control in random.sample(self.world.controls, len(self.world.controls))]
        for api in [self.home] * (self.home is not None) + apis:
            path = f"/v1/Instances.Heartbeat/i-{self.number:08x}"
            result = await call(api, "POST", path, json.dumps(body).encode())
            self.home = None
            if result and 200 <= result[0] < 300:
                self.home = json.loads(result[1] or b"{}").get("HeartbeatAddr")
                if state == "draining" and self.drained_at is None:
                    self.drained_at = time.monotonic()
                return True
        return False

    def datagram_received(self, data, sender):
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet, genuine = decode(data[8:])
        if not genuine:
            self.world.violation(f"upstream {self.number} got a changed packet")
        key = (packet.src, packet.sport)
        if packet.flags & SYN:
            self.check_opening(packet, sender)
            self.opening.setdefault(key, random.getrandbits(31))
            self.answer(packet, SYN | ACK, seq=self.opening[key])
            return
        # A flow is open at the upstream whose handshake the caller confirms, not at another one that
        # got a repeated opening packet.
        if self.opening.get(key) == packet.ack - 1:
            self.flows[key] = self.opening.pop(key)
        if key not in self.flows:
            self.world.stray_packet(self, key)
            self.answer(packet, RST)
        elif packet.flags & FIN:
            del self.flows[key]
            self.answer(packet, FIN | ACK)
        else:
            self.answer(packet, ACK, data=packet.data[::-1])

    def check_opening(self, packet, sender):
        if self.world.services.get((packet.dst, packet.dport)) != self.service:
            self.world.violation(f"upstream {self.number} got a flow of another service")
        late = self.drained_at and time.monotonic() - self.drained_at > DRAIN_SECONDS
        if late and self.world.calm_for(sender[0]) > CALM_SECONDS:
            self.world.violation(f"upstream {self.number} got a new flow after its drain")

    def answer(self, packet, flags, seq=1, data=b""):
        reply = Packet(
            packet.tag, seq, packet.seq + 1, packet.dst, packet.sport, packet.dport, packet.src, flags, data
        )
        self.transport.sendto(reply.encode(), (text(packet.src), PACKET_PORT))


class Callers(asyncio.DatagramProtocol):
    """Opens flows through the entry instances and uses each one until it ends."""

    def __init__(self, world, ip):
        self.world, self.ip = world, ip
        self.flows = {}
        self.next_port = 1024
        self.attempts = self.served = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, PACKET_PORT))

    def datagram_received(self, data, _sender):
        packet, genuine = decode(data)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if packet.flags & RST and not genuine:
            flow["reset_by_system"] = True
        elif not genuine:
            self.world.violation("a caller got a changed packet")
        flow["packets"].put_nowait(packet)

    def send(self, port, service, flags, tag=0, ack=0, data=b"", entry=None):
        packet = Packet(tag, 7, ack, address(self.ip), service[1], port, service[0], flags, data)
        entry = entry or self.world.route((port, service))
        if entry is not None:
            self.transport.sendto(packet.encode(), (entry.ip, PACKET_PORT))

    async def use_flow(self, service, packets, pause):
        """Returns "served" if the flow opened and every packet was answered, else what went wrong."""
        self.next_port = self.next_port + 1 if self.next_port < 65000 else 1024
        port = self.next_port
        flow = self.flows[port] = {"packets": asyncio.Queue(), "reset_by_system": False}
        try:
            handshake = await self.open(port, service, flow)
            if handshake is None:
                return "reset at opening" if flow["reset_by_system"] else "not opened"
            owner = self.world.owner_of((address(self.ip), port))
            for number in range(packets):
                await asyncio.sleep(pause)
                data = number.to_bytes(4, "big") * 8
                outcome = await self.ask(port, service, flow, handshake, data, owner)
                if outcome != "served":
                    return outcome
                if random.random() < UNKNOWN_TAG_PART:
                    # Like a tag of an upstream that the instance has not heard of: no reason for a reset.
                    other = random.choice(self.world.entries)
                    self.send(port, service, ACK, random.getrandbits(32), handshake.seq + 1, data, other)
            self.send(port, service, ACK | FIN, handshake.tag, handshake.seq + 1)
            return "served"
        finally:
            del self.flows[port]

    async def open(self, port, service, flow):
        for wait in (0.2, 0.4, 0.8):
            self.send(port, service, SYN)
            try:
                packet = await asyncio.wait_for(flow["packets"].get(), wait)
            except asyncio.TimeoutError:
                continue
            if packet.flags & RST:
                return None
            self.send(port, service, ACK, packet.tag, packet.seq + 1)
            return packet
        return None

    async def ask(self, port, service, flow, handshake, data, owner):
        for wait in (0.2, 0.4, 0.8, 1.6, 1.6, 1.6):
            self.send(port, service, ACK, handshake.tag, handshake.seq + 1, data)
            deadline = time.monotonic() + wait
            while (left := deadline - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(flow["packets"].get(), left)
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    if flow["reset_by_system"] and owner is not None and owner.alive:
                        self.world.violation(f"an open flow of living upstream {owner.number} was reset")
                    return "reset by the system" if flow["reset_by_system"] else "reset by the upstream"
                if packet.data == data[::-1]:
                    return "served"
        return "no answer"

"""Simulated callers and upstreams and a fault-injecting TCP proxy, all on one event loop."""

import asyncio
import json
import random
import time

from packets import ACK, FIN, RST, SYN, Packet, decode, format_address, parse_address

PACKET_PORT = 8172
DRAIN_SECONDS = 3.0
STABLE_SECONDS = 4.0
UNKNOWN_TAG_PROBABILITY = 0.05


class FaultProxy:
    """Forwards the connections of one TCP port. The current fault applies to new and open connections."""

    FAULTS = ("cut", "silent", "to_only", "from_only", "delay", "reset")

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.fault = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.handle_connection, *self.listen)

    def set_fault(self, fault):
        self.fault = fault
        if fault in ("cut", "reset"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def handle_connection(self, reader, writer):
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
            await asyncio.gather(
                self.forward_data(reader, up_writer, "from_only"), self.forward_data(up_reader, writer, "to_only")
            )
        except asyncio.CancelledError:
            return  # The run has ended.
        self.writers.discard(writer)
        self.writers.discard(up_writer)

    async def forward_data(self, reader, writer, blocked_by):
        try:
            while data := await reader.read(65536):
                # Data that a blocked link has accepted is lost if the connection closes; the endpoints must detect it.
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


async def http_call(host, method, path, body=b"", timeout=1.0, drop_response=False):
    """Sends an HTTP request, following up to two redirects. Returns (status, body), or None without a response."""
    for _ in range(3):
        try:
            result = await asyncio.wait_for(http_exchange(host, method, path, body, drop_response), timeout)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError) as error:
            http_call.last_error = f"{host}{path}: {error!r}"
            return None
        if result is None or result[0] != 307:
            return result[:2] if result else None
        host, _, path = result[2].removeprefix("http://").partition("/")
        path = "/" + path
    return None


http_call.last_error = "none"


async def http_exchange(host, method, path, body, drop_response):
    name, port = host.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        if drop_response:
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
    """Upstream that answers the packets of its flows and announces itself by heartbeats."""

    def __init__(self, soak_run, ip, service, zone, number):
        self.soak_run, self.ip, self.service, self.zone, self.number = soak_run, ip, service, zone, number
        self.start_time_ms = int(time.time() * 1000)
        self.flows, self.handshakes = {}, {}
        self.sequence = 0
        self.state = "ready"
        self.drain_announced_at = None
        self.heartbeat_address = None
        self.alive = True

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, 9000))
        self.announce_task = asyncio.create_task(self.announce())

    def stop(self):
        self.alive = False
        self.announce_task.cancel()
        self.transport.close()

    async def announce(self):
        while self.alive:
            await self.send_heartbeat()
            await asyncio.sleep(1.0)

    async def send_heartbeat(self):
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
            "born": self.start_time_ms,
        }
        state = self.state
        apis = [control.api for control in random.sample(self.soak_run.controls, len(self.soak_run.controls))]
        for api in [self.heartbeat_address] * (self.heartbeat_address is not None) + apis:
            path = f"/v1/Instances.Heartbeat/i-{self.number:08x}"
            result = await http_call(api, "POST", path, json.dumps(body).encode())
            self.heartbeat_address = None
            if result and 200 <= result[0] < 300:
                self.heartbeat_address = json.loads(result[1] or b"{}").get("HeartbeatAddr")
                if state == "draining" and self.drain_announced_at is None:
                    self.drain_announced_at = time.monotonic()
                return True
        return False

    def datagram_received(self, data, sender):
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet, checksum_valid = decode(data[8:])
        if not checksum_valid:
            self.soak_run.violation(f"upstream {self.number} received a modified packet")
        key = (packet.src, packet.sport)
        if packet.flags & SYN:
            self.check_opening(packet, sender)
            self.handshakes.setdefault(key, random.getrandbits(31))
            self.answer(packet, SYN | ACK, seq=self.handshakes[key])
            return
        # A flow belongs to the upstream whose handshake the caller acknowledges. Another upstream may have
        # received a repeated opening packet.
        if self.handshakes.get(key) == packet.ack - 1:
            self.flows[key] = self.handshakes.pop(key)
        if key not in self.flows:
            self.soak_run.check_misrouted_packet(self, key)
            self.answer(packet, RST)
        elif packet.flags & FIN:
            del self.flows[key]
            self.answer(packet, FIN | ACK)
        else:
            self.answer(packet, ACK, data=packet.data[::-1])

    def check_opening(self, packet, sender):
        if self.soak_run.services.get((packet.dst, packet.dport)) != self.service:
            self.soak_run.violation(f"upstream {self.number} received a flow of another service")
        self.soak_run.check_evacuated_zone(self, sender[0])
        late = self.drain_announced_at and time.monotonic() - self.drain_announced_at > DRAIN_SECONDS
        if late and self.soak_run.stable_seconds(sender[0]) > STABLE_SECONDS:
            self.soak_run.violation(f"upstream {self.number} received a new flow after its drain")

    def answer(self, packet, flags, seq=1, data=b""):
        reply = Packet(
            packet.tag, seq, packet.seq + 1, packet.dst, packet.sport, packet.dport, packet.src, flags, data
        )
        self.transport.sendto(reply.encode(), (format_address(packet.src), PACKET_PORT))


class Callers(asyncio.DatagramProtocol):
    """Opens flows through the entry instances and sends packets on them."""

    def __init__(self, soak_run, ip):
        self.soak_run, self.ip = soak_run, ip
        self.flows = {}
        self.next_port = 1024
        self.attempts = self.served = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, PACKET_PORT))

    def datagram_received(self, data, _sender):
        packet, checksum_valid = decode(data)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if packet.flags & RST and not checksum_valid:
            flow["reset_by_system"] = True
        elif not checksum_valid:
            self.soak_run.violation("a caller received a modified packet")
        flow["packets"].put_nowait(packet)

    def send(self, port, service, flags, tag=0, ack=0, data=b"", entry=None):
        packet = Packet(tag, 7, ack, parse_address(self.ip), service[1], port, service[0], flags, data)
        entry = entry or self.soak_run.select_entry((port, service))
        if entry is not None:
            self.transport.sendto(packet.encode(), (entry.ip, PACKET_PORT))

    async def run_flow(self, service, packets, pause):
        """Returns "served" if the flow opened and every packet was answered, else a description of the failure."""
        self.next_port = self.next_port + 1 if self.next_port < 65000 else 1024
        port = self.next_port
        flow = self.flows[port] = {"packets": asyncio.Queue(), "reset_by_system": False}
        try:
            handshake = await self.open_flow(port, service, flow)
            if handshake is None:
                return "reset at opening" if flow["reset_by_system"] else "not opened"
            owner = self.soak_run.upstream_of_flow((parse_address(self.ip), port))
            for number in range(packets):
                await asyncio.sleep(pause)
                data = number.to_bytes(4, "big") * 8
                outcome = await self.send_data(port, service, flow, handshake, data, owner)
                if outcome != "served":
                    return outcome
                if random.random() < UNKNOWN_TAG_PROBABILITY:
                    # An instance may not know the upstream of a tag yet, so an unknown tag must not cause a reset.
                    other = random.choice(self.soak_run.entries)
                    self.send(port, service, ACK, random.getrandbits(32), handshake.seq + 1, data, other)
            self.send(port, service, ACK | FIN, handshake.tag, handshake.seq + 1)
            return "served"
        finally:
            del self.flows[port]

    async def open_flow(self, port, service, flow):
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

    async def send_data(self, port, service, flow, handshake, data, owner):
        for wait in (0.2, 0.4, 0.8, 1.6, 1.6, 1.6):
            self.send(port, service, ACK, handshake.tag, handshake.seq + 1, data)
            deadline = time.monotonic() + wait
            while (remaining := deadline - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(flow["packets"].get(), remaining)
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    if flow["reset_by_system"] and owner is not None and owner.alive:
                        self.soak_run.violation(f"an open flow of running upstream {owner.number} was reset")
                    return "reset by the system" if flow["reset_by_system"] else "reset by the upstream"
                if packet.data == data[::-1]:
                    return "served"
        return "no answer"

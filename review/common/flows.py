"""Stand-ins of hosts, clients and routers that carry HTTP/1.1 in flows, as PROTOCOL.md describes them. All sockets are
served by one thread; every method of a stand-in runs on it."""

import heapq
import itertools
import json
import os
import queue
import random
import selectors
import socket
import sys
import threading
import time

from system import CONTROL_PORT, HEARTBEAT_MS, PACKET_PORT, READY_PORT, ROOT, call

sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
from packets import ACK, FIN, RST, SYN, Packet, decode, format_address, parse_address

HOST_PORT = 8367
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES_S = (0.2, 0.4, 0.8)


class Loop:
    """One thread that serves datagram sockets and timers."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers, self.order = [], itertools.count()
        self.calls = queue.Queue()
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def socket(self, ip, port, handler):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, port))
        sock.setblocking(False)
        self.call(lambda: self.selector.register(sock, selectors.EVENT_READ, handler))
        return sock

    def call(self, function):
        self.calls.put(function)

    def later(self, seconds, function):
        heapq.heappush(self.timers, (time.monotonic() + seconds, next(self.order), function))

    def run(self):
        while not self.stopping:
            while not self.calls.empty():
                self.calls.get()()
            while self.timers and self.timers[0][0] <= time.monotonic():
                heapq.heappop(self.timers)[2]()
            wait = min(0.01, self.timers[0][0] - time.monotonic()) if self.timers else 0.01
            for key, _ in self.selector.select(max(wait, 0.0)):
                try:
                    while True:
                        key.data(key.fileobj.recv(2048))
                except BlockingIOError:
                    pass
                except OSError:
                    pass

    def stop(self):
        self.stopping = True
        self.thread.join()


class Host:
    """A sound host: handshake, requests, retransmissions, heartbeats."""

    def __init__(self, loop, platform, number, ip, service, zone, work_s=0.04, slots=2):
        self.loop, self.platform, self.record = loop, platform, platform.record
        self.number, self.name, self.ip, self.service, self.zone = number, f"i-{number:x}", ip, service, zone
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.half_open, self.open, self.ended = {}, {}, set()
        self.synacks = 0
        # Returns true if this SYN+ACK, counted from 1, is lost on its way.
        self.loses_synack = lambda count: False
        # Seconds for which a SYN+ACK waits at the host's link, and whether it is repeated until it is acknowledged.
        self.delays_synack = lambda count: 0.0
        self.repeats_synack = True
        self.resets = []
        self.sequence = 0
        self.beat_at = None
        self.alive = True
        self.sock = loop.socket(ip, HOST_PORT, self.receive)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while self.alive:
            self.send_heartbeat()
            time.sleep(HEARTBEAT_MS / 1000)

    def send_heartbeat(self):
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": f"{self.ip}:{HOST_PORT}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        nodes = [machine.ip for machine in self.platform.machines if machine.role == "lw-control"]
        random.shuffle(nodes)
        for ip in ([self.beat_at] if self.beat_at else []) + nodes:
            result = call(ip, "POST", f"/v1/Instances.Heartbeat/{self.name}", json.dumps(body).encode())
            self.beat_at = None
            if result and 200 <= result[0] < 300:
                address = json.loads(result[1] or b"{}").get("HeartbeatAddr")
                self.beat_at = address.split(":")[0] if address else None
                return

    def receive(self, data):
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet, valid = decode(data[8:])
        if not valid:
            self.record(f"{self.name}: got a packet that its sender did not write")
            return
        key = (packet.src, packet.sport)
        if packet.flags & SYN:
            self.accept(key, packet)
            return
        if packet.flags & RST:
            self.half_open.pop(key, None)
            self.open.pop(key, None)
            return
        flow = self.half_open.get(key)
        if flow and packet.ack == flow["seq"] + 1:
            del self.half_open[key]
            self.open[key] = flow
            flow["seq"] += 1
            self.record(f"{self.name}: flow of port {packet.sport} is open here")
        flow = self.open.get(key)
        if flow is None:
            if packet.flags & FIN and key in self.ended:
                self.send(key, packet.dst, packet.dport, ACK, packet.ack, packet.seq + 1, packet.tag)
            else:
                self.resets.append(packet.sport)
                self.record(f"{self.name}: reset of port {packet.sport}: this flow is not held here")
                self.send(key, packet.dst, packet.dport, RST, packet.ack, packet.seq, packet.tag)
            return
        flow["tag"] = packet.tag
        self.take(key, flow, packet)

    def accept(self, key, packet):
        flow = self.half_open.get(key)
        if flow is None and key not in self.open:
            flow = {"seq": random.getrandbits(30), "next": packet.seq + 1, "dst": packet.dst, "dport": packet.dport}
            flow.update(tag=packet.tag, unacked=[], buffer=b"")
            self.half_open[key] = flow
            self.record(f"{self.name}: SYN of port {packet.sport}")
            self.synacks += 1
            delay = self.delays_synack(self.synacks)
            if delay:
                self.record(f"{self.name}: SYN+ACK to port {packet.sport} waits {delay} s")
                self.loop.later(delay, lambda: self.offer(key, flow, 0))
            else:
                self.offer(key, flow, 0)

    def offer(self, key, flow, retries):
        """Sends the SYN+ACK, and again until it is acknowledged or after 8 retransmissions."""
        if self.half_open.get(key) is not flow:
            return
        if retries == 0 and self.loses_synack(self.synacks):
            self.record(f"{self.name}: SYN+ACK to port {key[1]} is lost on its way")
        else:
            self.send(key, flow["dst"], flow["dport"], SYN | ACK, flow["seq"], flow["next"], flow["tag"])
        if self.repeats_synack and retries < len(RETRANSMIT_S):
            self.loop.later(RETRANSMIT_S[retries], lambda: self.offer(key, flow, retries + 1))
        elif retries == len(RETRANSMIT_S):
            del self.half_open[key]

    def take(self, key, flow, packet):
        flow["unacked"] = [item for item in flow["unacked"] if item[0] + len(item[1]) > packet.ack]
        if packet.flags & FIN:
            self.send(key, flow["dst"], flow["dport"], FIN | ACK, flow["seq"], packet.seq + 1, flow["tag"])
            del self.open[key]
            self.ended.add(key)
            return
        if packet.data and packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            flow["buffer"] += packet.data
            head, end, _ = flow["buffer"].partition(b"\r\n\r\n")
            if end:
                flow["buffer"] = b""
                request = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
                self.record(f"{self.name}: runs request {request} of port {key[1]}")
                self.loop.later(self.work_s, lambda: self.respond(key, flow, request))

    def respond(self, key, flow, request):
        body = f"{request} by {self.name}".encode()
        head = f"HTTP/1.1 200 OK\r\nX-Server-Signature: {self.name}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        flow["unacked"].append((flow["seq"], head + body))
        flow["seq"] += len(head + body)
        self.transmit(key, flow, flow["unacked"][-1], 0)

    def transmit(self, key, flow, item, retries):
        if self.open.get(key) is not flow or item not in flow["unacked"] or retries > len(RETRANSMIT_S):
            return
        self.send(key, flow["dst"], flow["dport"], ACK, item[0], flow["next"], flow["tag"], item[1])
        if retries < len(RETRANSMIT_S):
            self.loop.later(RETRANSMIT_S[retries], lambda: self.transmit(key, flow, item, retries + 1))

    def send(self, key, src, sport, flags, seq, ack, tag, data=b""):
        packet = Packet(tag, seq, ack, src, key[1], sport, key[0], flags, data)
        self.sock.sendto(packet.encode(), (format_address(key[0]), PACKET_PORT))


class Router:
    """Selects the entry for each packet: the machines in rotation, by a steady hash of the flow."""

    def __init__(self, platform):
        self.platform = platform
        self.ready, self.misses = {}, {}
        threading.Thread(target=self.probe, daemon=True).start()

    def probe(self):
        while not self.platform.closing:
            for machine in [item for item in self.platform.machines if item.role == "lw-entry"]:
                result = call(machine.ip, "GET", "/v1/readyz", timeout=0.4, port=READY_PORT)
                if result and result[0] == 200:
                    self.misses[machine.ip] = 0
                    self.ready[machine.ip] = True
                else:
                    self.misses[machine.ip] = self.misses.get(machine.ip, 1) + 1
                    if self.misses[machine.ip] >= 2:
                        self.ready[machine.ip] = False
            time.sleep(0.5)

    def select(self, key):
        entries = [ip for ip, ready in self.ready.items() if ready]
        return max(entries, key=lambda ip: hash((ip, key)), default=None)


class Client:
    """Opens flows from one address and sends requests on them."""

    def __init__(self, loop, platform, router, ip):
        self.loop, self.record, self.router, self.ip = loop, platform.record, router, ip
        self.flows = {}
        self.ports = itertools.count(random.randint(20000, 30000))
        self.sock = loop.socket(ip, PACKET_PORT, self.receive)

    def open(self, route, requests, pause_s):
        """Opens a flow in the loop's thread and sends requests on it, with pauses between them."""
        flow = {"port": next(self.ports), "route": route, "left": requests, "pause": pause_s, "seq": 1000, "tag": 0}
        flow.update(state="opening", peer=None, next=0, unacked=None, answers=0, sent=0, resets=[], end=None)
        self.loop.call(lambda: self.start(flow))
        return flow

    def start(self, flow):
        self.flows[flow["port"]] = flow
        self.syn(flow, 0)

    def syn(self, flow, copy):
        if flow["state"] != "opening" or flow["end"]:
            return
        if copy == len(SYN_COPIES_S):
            self.finish(flow, "not opened")
            return
        self.send(flow, SYN, ack=copy)
        self.loop.later(SYN_COPIES_S[copy], lambda: self.syn(flow, copy + 1))

    def receive(self, data):
        packet, valid = decode(data)
        flow = self.flows.get(packet.dport)
        if flow is None or flow["end"]:
            return
        if packet.flags & RST:
            self.take_reset(flow, packet, valid)
            return
        if not valid:
            self.record(f"client: port {flow['port']} got a packet that its sender did not write")
            return
        # "The client and the host each place in their own packets the last echo that they received on a flow."
        flow["tag"] = packet.tag
        if packet.flags & SYN:
            if flow["state"] == "opening":
                flow.update(state="open", peer=packet.seq, next=packet.seq + 1, seq=flow["seq"] + 1)
                self.record(f"client: port {flow['port']} opens its flow")
                self.request(flow)
            return
        if flow["unacked"] and packet.data and packet.seq == flow["next"]:  # An answer fits into one packet here.
            flow["next"] += len(packet.data)
            flow["answers"] += 1
            flow["unacked"] = None
            body = packet.data.split(b"\r\n\r\n")[-1].decode()
            self.record(f"client: port {flow['port']} got answer {flow['answers']}: {body}")
            flow["left"] -= 1
            self.send(flow, ACK if flow["left"] else ACK | FIN, ack=flow["next"])
            if flow["left"]:
                self.loop.later(flow["pause"], lambda: self.request(flow))
            else:
                self.finish(flow, "served")

    def take_reset(self, flow, packet, valid):
        if flow["state"] == "opening":
            self.finish(flow, "reset at opening")
        elif valid or abs(packet.seq - flow["next"]) <= 76800:
            flow["resets"].append("by a host" if valid else "by the system")
            self.record(f"client: port {flow['port']} got a reset {flow['resets'][-1]} on its open flow")
            self.finish(flow, "reset while open")

    def request(self, flow):
        if flow["end"]:
            return
        flow["sent"] += 1
        name = f"{flow['port']}-{flow['sent']}"
        flow["unacked"] = f"GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: {name}\r\n\r\n".encode()
        self.record(f"client: port {flow['port']} sends request {name}, echo {flow['tag']:08x}")
        start, flow["seq"] = flow["seq"], flow["seq"] + len(flow["unacked"])
        self.transmit(flow, start, flow["unacked"], flow["sent"], 0)

    def transmit(self, flow, seq, data, number, retries):
        if flow["end"] or flow["unacked"] is None or flow["sent"] != number:
            return
        if retries > 4:
            self.finish(flow, "no answer")
            return
        self.send(flow, ACK, ack=flow["next"], data=data, seq=seq)
        self.loop.later(RETRANSMIT_S[retries], lambda: self.transmit(flow, seq, data, number, retries + 1))

    def send(self, flow, flags, ack, data=b"", seq=None):
        tag = 0 if flags & SYN else flow["tag"]
        seq = flow["seq"] if seq is None else seq
        host, port = flow["route"]
        packet = Packet(tag, seq, ack, parse_address(self.ip), port, flow["port"], parse_address(host), flags, data)
        entry = self.router.select((self.ip, flow["port"], flow["route"]))
        if entry is not None:
            self.sock.sendto(packet.encode(), (entry, PACKET_PORT))

    def finish(self, flow, end):
        flow["end"] = end
        self.record(f"client: port {flow['port']} ends: {end}")

"""Long flows whose second handshake came late, and then all entries of their zone are killed at the same moment.

VARIANT=planned: each zone has one entry, and the one of the flows' zone is stopped with SIGTERM and started again.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from harness import ACK, SYN, CannotRun, Client, Host, ROUTE, make_config, run_case, to_dotted, to_number  # noqa: E402

# One SYN+ACK in 40 waits at its host's link while the flows are opened.
LATE_ONE_IN = 40
LATE_S = 0.4
FLOWS, FLOWS_PER_S = 320, 80
STABLE_S = 6.0
KILL_AFTER_S = 2.0
PLANNED = os.environ.get("VARIANT") == "planned"
RESTART_S = 0.5
# From the restart to the second requests. More than StabilityWindowMs (4 s).
CALM_S = 5.5


class JitteryHost(Host):
    """A host of which some SYN+ACKs are late. The count is common to all hosts."""

    sent, late = 0, False

    def send_handshake(self, packet, flow):
        JitteryHost.sent += 1
        if JitteryHost.late and JitteryHost.sent % LATE_ONE_IN == 0:
            self.system.record.add(f"host i-{self.id:08x}: SYN+ACK to {to_dotted(packet.src)}:{packet.sport} is late")
            asyncio.get_running_loop().call_later(LATE_S, self.send, packet, SYN | ACK, self.handshakes[flow])
        else:
            self.send(packet, SYN | ACK, self.handshakes[flow])


async def open_and_use(system, client, number, flows):
    opened = await client.open(ROUTE)
    if isinstance(opened, str):
        client.count("not opened: " + opened)
        return
    port, flow = opened
    outcome = await client.request(port, ROUTE, flow, f"f{number}-1")
    client.count("first request " + ("answered" if outcome.startswith("i-") else outcome))
    if outcome.startswith("i-"):
        flows.append((client, port, flow, number))


async def use_again(system, client, port, flow, number):
    holder = system.holders.get((to_number(client.ip), port))
    outcome = await client.request(port, ROUTE, flow, f"f{number}-2")
    client.count("second request " + ("answered" if outcome.startswith("i-") else outcome))
    system.record.add(f"second request on {client.ip}:{port}, open at i-{holder.id:08x} -> {outcome}")
    others = [host for host in system.resetters.get((to_number(client.ip), port), []) if host is not holder]
    if outcome.startswith("reset") and holder.alive and (others or "system" in outcome):
        by = f"i-{others[0].id:08x}" if others else "the system"
        system.break_rule(f"FLOW: the open flow {client.ip}:{port} of i-{holder.id:08x} got a reset from {by}")


async def restart(entries):
    for entry in entries:
        await entry.process.wait()
    await asyncio.sleep(RESTART_S)
    for entry in entries:
        await entry.start()


async def kill_together(entries):
    """Returns when the entries have been back for longer than the stability window."""
    for entry in entries:
        entry.send_signal(signal.SIGKILL)
    await restart(entries)
    await asyncio.sleep(CALM_S)


async def stop_as_planned(entries):
    """Returns when the routers have taken the entries out of rotation."""
    for entry in entries:
        entry.send_signal(signal.SIGTERM)
    while any(entry.in_rotation for entry in entries):
        await asyncio.sleep(0.05)


async def case(system, trouble):
    kill = trouble and os.environ.get("ONLY") != "late"
    late = trouble and os.environ.get("ONLY") != "kill"
    config = make_config(7, ["tagsvc"], [("r-1", *ROUTE, "tagsvc", "non_idempotent")])
    if await system.order(config) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    for i in range(6):
        await JitteryHost(system, i, "tagsvc", system.zones[0]).start()
    await system.wait_until_ready()
    system.tasks.append(asyncio.create_task(system.watch_rotation()))
    await asyncio.sleep(STABLE_S)
    clients = [Client(system, i, system.zones[0]) for i in range(4)]
    for client in clients:
        await client.start()
    JitteryHost.late = late
    flows, opening = [], []
    for number in range(FLOWS):
        opening.append(asyncio.create_task(open_and_use(system, clients[number % 4], number, flows)))
        await asyncio.sleep(1 / FLOWS_PER_S)
    JitteryHost.late = False
    await asyncio.gather(*opening)
    await asyncio.sleep(KILL_AFTER_S)
    stopped = [entry for entry in system.entries if entry.zone == system.zones[0]] if kill else []
    await (stop_as_planned if PLANNED else kill_together)(stopped)
    for client, port, flow, number in flows:
        await asyncio.sleep(0.002)
        opening.append(asyncio.create_task(use_again(system, client, port, flow, number)))
    await asyncio.gather(*opening)
    if PLANNED:
        await restart(stopped)
    for client in clients:
        system.record.add(f"client {client.ip}: {client.counts}")


run_case(case, zones=("apapa", "ikeja", "lekki"), entries_per_zone=1 if PLANNED else 2)

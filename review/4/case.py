"""Long flows with pauses, while one SYN+ACK in 40 is lost on its way to the client."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from flows import Client, Host, Loop, Router
from system import TROUBLE, ZONES, CannotRun, Operator, make_config, run_case

# lossy in the site file: x = 0.025.
LOST_ONE_IN = 40
# VARIANT=late: nothing is lost and hosts send each SYN+ACK once, but one in 40 waits at its host's link. RULES.md takes
# a machine for slowed where packets wait over half a second.
LATE = os.environ.get("VARIANT") == "late"
LATE_S = 0.4
FLOWS, FLOWS_PER_S, REQUESTS, PAUSE_S = 240, 20, 3, 4.0


def play(platform):
    loop = Loop()
    net = platform.net
    route = (f"{net}.200", 8443)
    cores = platform.add_cores()
    entries = [platform.add(f"edge-{i + 1}", "lw-entry", 21 + i, ZONES[0], True) for i in range(2)]
    for machine in cores + entries:
        machine.start()
    operator = Operator(platform)
    if not operator.replace(make_config(2, [("r-feed", *route, "idempotent", "tagsvc")], ["tagsvc"]), 20):
        raise CannotRun("the first configuration was not acknowledged")
    hosts = [Host(loop, platform, 0x7F3A9100 + i, f"{net}.{101 + i}", "tagsvc", ZONES[0], slots=8) for i in range(6)]
    router = Router(platform)
    time.sleep(10)
    if not any(router.ready.values()):
        raise CannotRun("no entry is ready")
    sent = [0]

    def is_hit(_):
        sent[0] += 1
        return TROUBLE and sent[0] % LOST_ONE_IN == 0

    for host in hosts:
        host.repeats_synack = not LATE
        if LATE:
            host.delays_synack = lambda count: LATE_S if is_hit(count) else 0.0
        else:
            host.loses_synack = is_hit
    client = Client(loop, platform, router, f"{net}.150")
    flows = []
    for _ in range(FLOWS):
        flows.append(client.open(route, REQUESTS, PAUSE_S))
        time.sleep(1 / FLOWS_PER_S)
    time.sleep(REQUESTS * PAUSE_S + 6)
    ends = {}
    for flow in flows:
        ends[flow["end"]] = ends.get(flow["end"], 0) + 1
    lost = sum(1 for number in range(1, sent[0] + 1) if number % LOST_ONE_IN == 0) if TROUBLE else 0
    broken = [flow["port"] for flow in flows if flow["end"] == "reset while open"]
    platform.record(f"check: SYN+ACK {sent[0]}, lost or late {lost}; flows: {ends}; open flows reset: {broken}")
    for host in hosts:
        host.alive = False
    loop.stop()
    return bool(broken)


run_case(play)

"""Configurations that cannot be read in full, or name an unknown service, are sent by the operator."""

import asyncio
import copy
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from harness import CannotRun, Client, Host, ROUTE, call, make_config, run_case  # noqa: E402

PAUSE_S = 1.0
STABLE_S = 5.0
CONFIG_APPLY_S = 3.0


def followed_by_other_bytes(config):
    """A whole document, a zero byte and the beginning of another document."""
    return json.dumps(config).encode() + b'\0{"Version":'


def without_a_list_of_routes(config):
    return json.dumps({**config, "Routes": {}}).encode()


def with_null_routes(config):
    return json.dumps({**config, "Routes": None}).encode()


def with_unknown_service(config):
    config["Routes"][0].update(Service="nowhere", WeightedServices=[{"Service": "counter-desk", "Weight": 1}])
    return json.dumps(config).encode()


INVALID = [
    ("a body of which the second part cannot be read", followed_by_other_bytes),
    ("a route that names an unknown service", with_unknown_service),
    ("Routes that are no list", without_a_list_of_routes),
    ("Routes that are null", with_null_routes),
]


async def read(system):
    for address in system.control_addresses():
        answer = await call(address, "GET", "/v1/Config.Read")
        if answer and answer[0] == 200:
            return answer[1]
    return b""


async def open_flows(system, client, text):
    outcomes = []
    for _ in range(5):
        opened = await client.open(ROUTE)
        outcomes.append("reset" if opened == "reset" else "no answer" if opened == "no answer" else "open")
    system.record.add(f"new flows on the route, {text}: {outcomes}")
    return outcomes


async def case(system, trouble):
    config = make_config(7, ["counter-desk"], [("r-1", *ROUTE, "counter-desk", "non_idempotent")])
    if await system.order(config) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    for i, zone in enumerate(system.zones):
        await Host(system, i, "counter-desk", zone).start()
    await system.wait_until_ready()
    await asyncio.sleep(STABLE_S)
    client = Client(system, 0, system.zones[0])
    await client.start()
    await open_flows(system, client, "before")
    version = 7
    for text, make in INVALID:
        version += 4
        changed = {**copy.deepcopy(config), "Version": version}
        body = make(changed) if trouble else json.dumps(changed).encode()
        status = await system.order(body)
        back = await read(system)
        system.record.add(f"version {version}, {text if trouble else 'valid'}: {status}; read back {back[:160]!r}")
        if trouble and status is not None and status < 400:
            system.break_rule(f"CONFIG: {text}: version {version} is invalid and was acknowledged with {status}")
            try:
                json.loads(back)
            except ValueError as error:
                system.break_rule(f"CONFIG: read back, the configuration cannot be read: {error}")
        elif not trouble and status != 200:
            raise CannotRun("a valid configuration was not acknowledged")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(CONFIG_APPLY_S)
    outcomes = await open_flows(system, client, "at the end")
    if trouble and "reset" in outcomes:
        system.break_rule("CONFIG: an invalid configuration is in force: new flows on the route are reset")


run_case(case)

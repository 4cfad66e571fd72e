"""Planned replacement of one core machine, then the loss of the disk of another one within FaultTolerance."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from system import BOUNDS, TROUBLE, CannotRun, Operator, make_config, run_case

ROUTES = lambda net: [("r-lookup", f"{net}.200", 8443, "idempotent", "tagsvc")]
# "x s (1) later"; the largest dose of replace_core in the site file is 2.05.
REPLACE_X_S = 2.0
# With VARIANT=crash, the leader is gone for good without SIGTERM, and the successor comes later: default of kinds.
CRASH_X_S = 1.0
# Time beyond CatchUpS of the successor before the disk is lost.
MARGIN_S, CRASH_MARGIN_S = 1.0, 0.1
# for_s of after_ack_wipe in the site file.
WIPE_FOR_S = 3.0


def read_back(operator, seconds):
    """Requests the configuration repeatedly from all nodes. Returns the highest version that came, or None."""
    newest, deadline = None, time.monotonic() + seconds
    while time.monotonic() < deadline:
        for ip in operator.nodes():
            result = operator.once(ip, "GET", "/v1/Config.Read")
            version = json.loads(result[1])["Version"] if result and result[0] == 200 else None
            operator.record(f"operator: Config.Read at {ip}: {result[0] if result else 'no response'} {version or ''}")
            if version is not None:
                newest = max(newest or 0, version)
        if newest is not None:
            return newest
        time.sleep(0.5)
    return newest


def play(platform):
    operator = Operator(platform)
    cores = platform.add_cores()
    for core in cores:
        core.start()
    if not operator.replace(make_config(2, ROUTES(platform.net), ["tagsvc"]), 20):
        raise CannotRun("the first configuration was not acknowledged")
    time.sleep(6)
    replace = TROUBLE or os.environ.get("ONLY") == "replace"
    wipe = TROUBLE or os.environ.get("ONLY") == "wipe"
    if replace:
        leader = operator.leader()
        if leader is None:
            raise CannotRun("no leader seen")
        crash = os.environ.get("VARIANT") == "crash"
        leaving = next(core for core in cores if (core.ip == leader) == crash)
        successor = platform.add("core-4", "lw-control", 14, leaving.zone, False)
        if crash:
            leaving.kill("gone for good")
            time.sleep(CRASH_X_S)
            successor.start()
        else:
            successor.start()
            time.sleep(REPLACE_X_S)
            leaving.terminate()
        # The removed machine stops counting as lost once its successor has had CatchUpS.
        margin_s = CRASH_MARGIN_S if crash else MARGIN_S
        time.sleep(max(0.0, successor.started_at + BOUNDS["CatchUpS"] + margin_s - time.monotonic()))
        platform.record("platform: the successor has had CatchUpS; no machine is lost now")
    if not operator.replace(make_config(5, ROUTES(platform.net), ["tagsvc"], 1400), 1.5):
        raise CannotRun("the change before the disk loss was not acknowledged")
    if wipe:
        acknowledger = next(core for core in platform.machines if core.ip == operator.answered_by)
        acknowledger.kill("power lost right after the acknowledgement")
        acknowledger.wipe()
        time.sleep(WIPE_FOR_S)
        acknowledger.start()
    # All that may be lost is back; wait for CatchUpS and RecoveryS, although reads need no recovery time.
    time.sleep(BOUNDS["CatchUpS"] + BOUNDS["RecoveryS"])
    later = operator.replace(make_config(9, ROUTES(platform.net), ["tagsvc"], 1300), 10)
    platform.record(f"check: a later change is {'acknowledged' if later else 'not acknowledged in 10 s'}")
    newest = read_back(operator, 20)
    platform.record(f"check: acknowledged {operator.acknowledged}, read back {newest}")
    return newest is None or newest < operator.acknowledged


run_case(play)

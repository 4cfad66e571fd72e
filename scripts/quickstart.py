"""Runs a small system on loopback with planned changes under load and checks the promises."""

import argparse
import json
import subprocess
import sys
import tempfile
import time

import history_check
import localsystem

ZONES = ["zone-a", "zone-b", "zone-c"]
COUNTER = {
    "name": "counter",
    "address": "192.0.2.10:4000",
    "kind": "REQUEST",
    "work_kinds": [
        {"name": "buyback", "share_permille": 500, "urgency": 2},
        {"name": "lookup", "share_permille": 400, "urgency": 1},
    ],
}
EXPORT = {
    "name": "export",
    "address": "192.0.2.20:4000",
    "kind": "OPAQUE",
    "opening_mark": "QUIC",
    "max_flow_idle_seconds": 300,
}
UPSTREAMS = [
    ("counter-1", "counter", "zone-a", True),
    ("counter-2", "counter", "zone-b", True),
    ("export-1", "export", "zone-b", False),
    ("export-2", "export", "zone-c", False),
]
# Hold time of a new upstream plus its first announcements.
WARM_UP_SECONDS = 8
LOAD_SECONDS = 24
CONTROLS = 1


def caller_arguments(system):
    return [
        f"--opaque_ingress={system.ingresses[EXPORT['address']]}",
        "--opaque_service=export",
        "--opaque_flows=200",
        f"--request_ingress={system.ingresses[COUNTER['address']]}",
        "--request_service=counter",
        "--request_flows=12",
        f"--seconds={LOAD_SECONDS}",
    ]


def run_load(system, entry, upstreams):
    """Runs the callers while one upstream joins, one drains and one entry instance restarts."""
    events = {}
    caller = subprocess.Popen(
        system.caller_command("caller", caller_arguments(system)),
        stdout=subprocess.PIPE,
        text=True,
    )
    time.sleep(3)
    system.start_upstream("export-3", "export", "zone-a", False)
    time.sleep(9)
    events["entry_exit_code"] = entry.terminate()
    entry.start()
    events["drain_exit_code"] = upstreams["counter-2"].terminate()
    output, _ = caller.communicate(timeout=LOAD_SECONDS + 30)
    return json.loads(output), events


def imbalance(flows_per_upstream):
    counts = list(flows_per_upstream.values())
    return max(counts) / (sum(counts) / len(counts)) if counts else 0.0


def run(arguments, folder):
    started = time.monotonic()
    system = localsystem.LocalSystem(arguments.bin, folder, ZONES, 2, CONTROLS)
    try:
        system.start_controls()
        entries = system.start_entries()
        system.start_fabric([COUNTER["address"], EXPORT["address"]])
        system.apply_service(COUNTER)
        version = system.apply_service(EXPORT)
        if not system.wait_in_force(version, len(entries)):
            raise RuntimeError("the configuration did not come into force")
        upstreams = {u[0]: system.start_upstream(*u) for u in UPSTREAMS}
        time.sleep(WARM_UP_SECONDS)
        result, events = run_load(system, entries[0], upstreams)
    finally:
        codes = system.stop_all()
    result.update(history_check.check(folder))
    result.update(events)
    result["bad_exit_codes"] = {name: code for name, code in codes.items() if code != 0}
    result["imbalance_max_over_mean"] = round(imbalance(result["flows_per_upstream"]), 3)
    result["duration_seconds"] = round(time.monotonic() - started, 1)
    return result


PROMISES = {
    "broken_flows": "an established flow survives a planned change",
    "misdelivered_packets": "a packet never reaches another service",
    "wrong_answers": "a caller gets the whole answer to its own request",
    "no_answer": "a graceful shutdown cuts no request",
    "outcome_unknown": "a planned change leaves no outcome unknown",
    "double_runs": "a request that may not be repeated runs at most once",
    "false_not_run": "a refusal that says not run is true",
    "answers_without_run": "an answer comes from a run of its request",
}


def violations(result):
    found = {name: result[name] for name in PROMISES if result[name] != 0}
    if result["bad_exit_codes"]:
        found["bad_exit_codes"] = result["bad_exit_codes"]
    for name in ("entry_exit_code", "drain_exit_code"):
        if result[name] != 0:
            found[name] = result[name]
    if result["requests"] == 0 or result["answered"] == 0 or result["echoes"] == 0:
        found["load"] = "no request or no packet was served"
    return found


def print_text(result, found):
    for name, promise in PROMISES.items():
        print(f"{result[name]:>6}  {name:<22} {promise}")
    print(f"flows {result['flows']}, requests {result['requests']}, answered {result['answered']}")
    print(f"imbalance of flows {result['imbalance_max_over_mean']}")
    print(f"refused as not run {result['not_run']}, {result['duration_seconds']} s")
    print("no promise was broken" if not found else f"BROKEN: {found}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--keep", help="folder for logs and records, kept after the run")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        result = run(arguments, arguments.keep or folder)
    found = violations(result)
    if arguments.json:
        print(json.dumps(result))
    else:
        print_text(result, found)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

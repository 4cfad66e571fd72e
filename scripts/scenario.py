"""Runs callers against a small system on loopback during scheduled events and checks the recorded history."""

import json
import subprocess
import time

import history_check
import localsystem

ZONES = ["zone-a", "zone-b", "zone-c"]
ENTRIES_PER_ZONE = 2
CONTROLS = 3
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
# Name, service, availability zone, whether the service is a request service.
UPSTREAMS = [
    ("counter-1", "counter", "zone-a", True),
    ("counter-2", "counter", "zone-b", True),
    ("export-1", "export", "zone-b", False),
    ("export-2", "export", "zone-c", False),
]
FLOOD_SECONDS = 4
# Each flow sends its next request 1 ms after the previous one completed, which overloads the upstreams.
FLOOD_FLOWS = 150
# Covers the first announcements and the hold time of a new upstream.
WARM_UP_SECONDS = 8

# Counts that must be 0 under all faults.
SAFETY = {
    "misdelivered_packets": "no packet is delivered to another service",
    "wrong_answers": "a caller receives the complete answer to its own request",
    "double_runs": "a non-idempotent request runs at most once",
    "false_not_run": "a request reported as not run did not run",
    "answers_without_run": "a request that was answered did run",
}


class Scenario:
    """A test system with its processes and the load on it."""

    def __init__(self, bin_folder, work_folder, load_seconds, fabric_arguments=()):
        self.load_seconds = load_seconds
        self.fabric_arguments = fabric_arguments
        self.system = localsystem.LocalSystem(
            bin_folder, work_folder, ZONES, ENTRIES_PER_ZONE, CONTROLS
        )
        self.controls = []
        self.entries = []
        self.upstreams = {}

    def start(self):
        self.controls = self.system.start_controls()
        self.entries = self.system.start_entries()
        self.system.start_fabric([COUNTER["address"], EXPORT["address"]], self.fabric_arguments)
        self.system.apply_service(COUNTER)
        version = self.system.apply_service(EXPORT)
        if not self.system.wait_in_force(version, len(self.entries)):
            raise RuntimeError("the configuration did not come into force")
        for upstream in UPSTREAMS:
            self.add_upstream(*upstream)
        time.sleep(WARM_UP_SECONDS)

    def add_upstream(self, name, service, zone, request_service):
        self.upstreams[name] = self.system.start_upstream(name, service, zone, request_service)

    def _caller_arguments(self):
        return [
            f"--opaque_ingress={self.system.ingresses[EXPORT['address']]}",
            "--opaque_service=export",
            "--opaque_flows=200",
            f"--request_ingress={self.system.ingresses[COUNTER['address']]}",
            "--request_service=counter",
            "--request_flows=12",
            f"--seconds={self.load_seconds}",
        ]

    def run_load(self, events):
        """Runs the callers. Each event is a pair of the seconds since the start and a function to call then."""
        caller = subprocess.Popen(
            self.system.caller_command("caller", self._caller_arguments()),
            stdout=subprocess.PIPE,
            text=True,
        )
        started = time.monotonic()
        for time_offset, event in sorted(events, key=lambda pair: pair[0]):
            time.sleep(max(0.0, started + time_offset - time.monotonic()))
            event()
        output, _ = caller.communicate(timeout=self.load_seconds + 30)
        return json.loads(output)

    def _start_request_caller(self, name, kind, flows, interval_ms, seconds):
        """Starts a caller whose requests all have the same kind."""
        arguments = [
            f"--request_ingress={self.system.ingresses[COUNTER['address']]}",
            "--request_service=counter",
            f"--repeatable_kind={kind}",
            f"--unrepeatable_kind={kind}",
            f"--request_flows={flows}",
            f"--interval_ms={interval_ms}",
            f"--seconds={seconds}",
        ]
        command = self.system.caller_command(name, arguments)
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def _run_buyback_load(self, name):
        """Sends buyback requests for FLOOD_SECONDS and returns the number of answers."""
        caller = self._start_request_caller(name, "buyback", 6, 50, FLOOD_SECONDS)
        output, _ = caller.communicate(timeout=FLOOD_SECONDS + 30)
        return json.loads(output)["answered"]

    def measure_flood(self):
        """Compares the goodput of buyback requests with and without a flood of lookup requests."""
        without = self._run_buyback_load("clerks-without-flood")
        flood = self._start_request_caller("flood", "lookup", FLOOD_FLOWS, 1, FLOOD_SECONDS + 2)
        time.sleep(1)
        during = self._run_buyback_load("clerks-during-flood")
        output, _ = flood.communicate(timeout=FLOOD_SECONDS + 30)
        return {
            "goodput_kept_in_flood": round(during / without, 3) if without else 0.0,
            "flood_requests": json.loads(output)["requests"],
        }

    def run(self, make_events, with_flood=False):
        """Runs the load with the events of make_events(self) on a new system and checks the recorded history."""
        started = time.monotonic()
        try:
            self.start()
            result = self.run_load(make_events(self))
            if with_flood:
                result.update(self.measure_flood())
        finally:
            codes = self.system.stop_all()
        result.update(history_check.check(self.system.folder))
        result["bad_exit_codes"] = {name: code for name, code in codes.items() if code != 0}
        result["imbalance_max_over_mean"] = round(imbalance(result["flows_per_upstream"]), 3)
        result["duration_seconds"] = round(time.monotonic() - started, 1)
        return result


def imbalance(flows_per_upstream):
    counts = list(flows_per_upstream.values())
    return max(counts) / (sum(counts) / len(counts)) if counts else 0.0


def violations(result, guarantees):
    """Returns the violated guarantees with their counts, failed exit codes, and whether no load was served."""
    violated = {name: result[name] for name in guarantees if result[name] != 0}
    if result["bad_exit_codes"]:
        violated["bad_exit_codes"] = result["bad_exit_codes"]
    if result["requests"] == 0 or result["answered"] == 0 or result["echoes"] == 0:
        violated["load"] = "no request or no packet was served"
    return violated

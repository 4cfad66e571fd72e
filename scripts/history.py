"""Runs concurrent operators against control instances under faults and checks that the history is linearizable."""

import argparse
import json
import random
import re
import sys
import tempfile
import threading
import time
import urllib.request

import linearizability
import localsystem

ZONES = ["zone-a", "zone-b", "zone-c"]
CONTROLS = 3
OPERATORS = 4
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
# Time limit for the system to respond after the last fault is healed.
SETTLE_SECONDS = 20
VERSION_GAUGE = re.compile(r"^config_version_in_force (\d+)$", re.MULTILINE)


class Operator(threading.Thread):
    """Reads and changes the configuration alternately and records the responses."""

    def __init__(self, system, number, deadline):
        super().__init__()
        self.system = system
        self.id = f"operator{number}"
        self.deadline = deadline
        self.operations = []
        self.request_number = 0
        self.random = random.Random(number)

    def run(self):
        while time.monotonic() < self.deadline:
            version = self._read()
            if version is not None:
                self._change(version)

    def _read(self):
        start = time.monotonic()
        result = self.system.lwctl("--format=json", "--timeout_ms=3000", "list")
        if result.returncode != 0:
            return None
        version = int(json.loads(result.stdout)["version"])
        operation = linearizability.Operation("read", start, time.monotonic(), version)
        self.operations.append(operation)
        return version

    def _change(self, base_version):
        self.request_number += 1
        path = f"{self.system.folder}/{self.id}.json"
        with open(path, "w") as file:
            json.dump(
                {
                    "name": self.id,
                    "address": f"192.0.2.{self.id[-1]}:4000",
                    "kind": "OPAQUE",
                    "max_flow_idle_seconds": self.request_number,
                },
                file,
            )
        start = time.monotonic()
        version = self._apply_until_decided(path, base_version)
        self.operations.append(
            linearizability.Operation(
                "change",
                start,
                time.monotonic(),
                version,
                base_version,
                self.id,
                self.request_number,
            )
        )

    def _apply_until_decided(self, path, base_version):
        """Retries the change with the same request number until it is accepted or rejected."""
        while time.monotonic() < self.deadline + SETTLE_SECONDS:
            result = self.system.lwctl(
                "--format=json",
                "--timeout_ms=3000",
                f"--operator_id={self.id}",
                f"--request_number={self.request_number}",
                f"--base_version={base_version}",
                "apply",
                path,
            )
            if result.returncode == 0:
                return int(json.loads(result.stdout)["version"])
            if result.returncode != EXIT_UNAVAILABLE:
                return None
        return None


class VersionMonitor(threading.Thread):
    """Checks that the version in force at each entry instance never decreases."""

    def __init__(self, system):
        super().__init__()
        self.system = system
        self.newest = {}
        self.violations = []
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.1):
            for entry in self.system.entries:
                self._poll(entry)

    def _poll(self, entry):
        try:
            url = f"http://{entry['metrics_listen']}/metrics"
            with urllib.request.urlopen(url, timeout=1) as response:
                match = VERSION_GAUGE.search(response.read().decode())
        except OSError:
            return
        version = int(match.group(1)) if match else 0
        before = self.newest.get(entry["instance"], 0)
        if version < before:
            self.violations.append(
                f"instance {entry['instance']} went back from version {before} to {version}"
            )
        self.newest[entry["instance"]] = max(before, version)


class LogCollector(threading.Thread):
    """Collects log revisions during the run, because control instances retain only the most recent ones."""

    def __init__(self, system):
        super().__init__()
        self.system = system
        self.revisions = {}
        self.terms = set()
        self.violations = []
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(1):
            self.collect()

    def collect(self):
        """Reads the retained revisions and the current term. Returns whether a control instance responded."""
        history = self.system.lwctl("--format=json", "--timeout_ms=2000", "history")
        status = self.system.lwctl("--format=json", "--timeout_ms=2000", "status")
        if status.returncode == 0:
            self.terms.add(int(json.loads(status.stdout)["control"]["term"]))
        if history.returncode != 0:
            return False
        for revision in json.loads(history.stdout).get("revisions", []):
            version = int(revision["version"])
            if self.revisions.setdefault(version, revision) != revision:
                self.violations.append(f"the content of version {version} changed")
        return True

    def log(self):
        return [self.revisions[version] for version in sorted(self.revisions)]


class FaultInjector:
    """Injects random faults in sequence, determined by a seed."""

    def __init__(self, system, controls, seed):
        self.system = system
        self.controls = controls
        self.random = random.Random(seed)
        self.kills = 0
        self.partitions = 0

    def inject_next(self):
        action = self.random.choice([self.partition, self.kill, self.delay, self.reset])
        action(self.random.randrange(len(self.controls)) + 1)

    def _links(self, instance):
        return [link for link in self.system.links if str(instance) in link.split("-")]

    def partition(self, instance):
        self.partitions += 1
        for link in self._links(instance):
            self.system.proxy_command(f"cut {link}")
        time.sleep(self.random.uniform(1, 4))
        self.heal()

    def kill(self, instance):
        self.kills += 1
        process = self.controls[instance - 1]
        process.kill()
        time.sleep(self.random.uniform(0.1, 1.5))
        process.start()

    def delay(self, instance):
        for link in self._links(instance):
            self.system.proxy_command(f"delay {link} {self.random.randrange(5, 80)}")
            self.system.proxy_command(f"reorder {link} 0.2")
        time.sleep(1)
        self.heal()

    def reset(self, instance):
        for link in self._links(instance):
            self.system.proxy_command(f"reset {link} 0.05")
            self.system.proxy_command(f"drop {link}")
        time.sleep(1)
        self.heal()

    def heal(self):
        for link in self.system.links:
            for command in (f"heal {link}", f"delay {link} 0", f"reorder {link} 0", f"reset {link} 0"):
                self.system.proxy_command(command)


def final_log(log_collector):
    """Returns the collected log after the faults; waits up to SETTLE_SECONDS for a control instance to respond."""
    end = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < end:
        if log_collector.collect():
            return log_collector.log()
        time.sleep(0.2)
    raise RuntimeError("no control instance responded after the faults were healed")


def run(arguments, folder):
    random.seed(arguments.seed)
    system = localsystem.LocalSystem(arguments.bin, folder, ZONES, 1, CONTROLS)
    for entry in system.entries:
        entry["data_directory"] = f"{folder}/entry{entry['instance']}.data"
    version_monitor = VersionMonitor(system)
    log_collector = LogCollector(system)
    try:
        system.start_fault_proxy(arguments.seed)
        controls = system.start_controls()
        system.start_entries()
        deadline = time.monotonic() + arguments.seconds
        operators = [Operator(system, n, deadline) for n in range(1, OPERATORS + 1)]
        faults = FaultInjector(system, controls, arguments.seed)
        version_monitor.start()
        log_collector.start()
        for operator in operators:
            operator.start()
        time.sleep(2)
        while time.monotonic() < deadline:
            faults.inject_next()
        for operator in operators:
            operator.join()
        log_collector.stopping.set()
        log_collector.join()
        revisions = final_log(log_collector)
        newest = int(revisions[-1]["version"]) if revisions else 0
        in_force = system.wait_in_force(newest, len(system.entries), SETTLE_SECONDS)
    finally:
        for thread in (version_monitor, log_collector):
            thread.stopping.set()
            if thread.is_alive():
                thread.join()
        system.stop_all()
    operations = [operation for operator in operators for operation in operator.operations]
    violations = linearizability.check(operations, revisions)
    violations += version_monitor.violations + log_collector.violations
    if not in_force:
        violations.append(f"version {newest} did not come into force on all entry instances")
    return report(operations, revisions, violations, faults, len(log_collector.terms))


def report(operations, revisions, violations, faults, terms):
    acknowledged = sum(1 for o in operations if o.kind == "change" and o.version is not None)
    for violation in violations:
        print(f"violation: {violation}", file=sys.stderr)
    return {
        "operations": len(operations),
        "acknowledged_changes": acknowledged,
        "logged_changes": len(revisions),
        "violations": len(violations),
        "elections": terms,
        "kills": faults.kills,
        "cuts": faults.partitions,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="directory for logs and data; kept after the run")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        result = run(arguments, arguments.keep or folder)
    print(json.dumps(result))
    has_changes = result["acknowledged_changes"] > 0
    return 0 if result["violations"] == 0 and has_changes else 1


if __name__ == "__main__":
    sys.exit(main())

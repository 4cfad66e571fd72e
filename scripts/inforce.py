"""Measures the time from the acceptance of a change until it is in force on all entry instances.

Runs 20 entry instances in three availability zones and three control instances on loopback. Measures with all zones
connected, then with one zone suspended by SIGSTOP to simulate a partition, then the time until that zone catches up.
"""

import argparse
import concurrent.futures
import json
import re
import signal
import sys
import tempfile
import time
import urllib.request

import localsystem

ZONES = ["zone-a", "zone-b", "zone-c"]
ENTRIES_PER_ZONE = 7
ENTRY_COUNT = 20
LIMIT_SECONDS = 6.0
WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.005
VERSION_GAUGE = re.compile(r"^config_version_in_force (\d+)$", re.MULTILINE)


def version_in_force(entry):
    try:
        url = f"http://{entry['metrics_listen']}/metrics"
        with urllib.request.urlopen(url, timeout=1) as response:
            match = VERSION_GAUGE.search(response.read().decode())
    except OSError:
        return 0
    return int(match.group(1)) if match else 0


def wait_for_version(entry, version, start):
    """Returns the seconds from start until the version is in force at the entry instance."""
    while time.monotonic() - start < WAIT_TIMEOUT_SECONDS:
        if version_in_force(entry) >= version:
            return time.monotonic() - start
        time.sleep(POLL_SECONDS)
    return WAIT_TIMEOUT_SECONDS


def apply_change(system, number):
    return system.apply_service(
        {
            "name": "export",
            "address": "192.0.2.20:4000",
            "kind": "OPAQUE",
            "max_flow_idle_seconds": number,
        }
    )


def measure(system, entries, count, first_number):
    """Applies changes in sequence and returns, for each, the seconds until it is in force on all entries."""
    times = []
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as pool:
        for number in range(first_number, first_number + count):
            version = apply_change(system, number)
            start = time.monotonic()
            times.append(max(pool.map(lambda e: wait_for_version(e, version, start), entries)))
    return times


def summary(times):
    ordered = sorted(times)
    return {
        "changes": len(ordered),
        "median_seconds": round(ordered[len(ordered) // 2], 3),
        "p99_seconds": round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))], 3),
        "max_seconds": round(ordered[-1], 3),
    }


def peer_bytes_sent(entries):
    """Returns the total number of bytes that the entry instances sent to each other."""
    total = 0
    for entry in entries:
        url = f"http://{entry['metrics_listen']}/metrics"
        with urllib.request.urlopen(url, timeout=2) as response:
            for line in response.read().decode().splitlines():
                if line.startswith("peer_sent_bytes_total "):
                    total += int(line.split()[1])
    return total


def run(arguments, folder):
    system = localsystem.LocalSystem(arguments.bin, folder, ZONES, ENTRIES_PER_ZONE, 3)
    system.entries = system.entries[:ENTRY_COUNT]
    result = {"entries": ENTRY_COUNT}
    try:
        system.start_controls()
        processes = system.start_entries()
        version = apply_change(system, 1)
        if not system.wait_in_force(version, ENTRY_COUNT):
            raise RuntimeError("the configuration did not come into force")
        time.sleep(3)
        result["all_zones"] = summary(measure(system, system.entries, arguments.changes, 2))
        before = peer_bytes_sent(system.entries)
        time.sleep(10)
        result["peer_bytes_per_second_per_instance"] = round(
            (peer_bytes_sent(system.entries) - before) / 10 / ENTRY_COUNT
        )
        suspended = [p for p, e in zip(processes, system.entries) if e["availability_zone"] == "zone-c"]
        reachable = [e for e in system.entries if e["availability_zone"] != "zone-c"]
        for process in suspended:
            process.popen.send_signal(signal.SIGSTOP)
        result["one_zone_cut"] = summary(
            measure(system, reachable, arguments.changes, 2 + arguments.changes)
        )
        for process in suspended:
            process.popen.send_signal(signal.SIGCONT)
        start = time.monotonic()
        newest = version + 2 * arguments.changes
        catch_up_seconds = [wait_for_version(e, newest, start) for e in system.entries]
        result["returned_zone_seconds"] = round(max(catch_up_seconds), 3)
    finally:
        system.stop_all()
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--changes", type=int, default=100)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        result = run(arguments, folder)
    print(json.dumps(result))
    slowest = max(result["all_zones"]["max_seconds"], result["one_zone_cut"]["max_seconds"])
    return 0 if slowest <= LIMIT_SECONDS and result["returned_zone_seconds"] <= LIMIT_SECONDS else 1


if __name__ == "__main__":
    sys.exit(main())

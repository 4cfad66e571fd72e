"""Runs a small system on loopback while processes are killed and frozen, and checks what must always hold.

The fabric duplicates and loses packets. Broken flows and unknown outcomes are counted, not refused, because no
kill is planned; double runs, false refusals, wrong answers and misdelivered packets must stay at 0.
"""

import argparse
import json
import random
import signal
import sys
import tempfile
import threading

import scenario

FABRIC = ["--duplicate=0.05", "--loss=0.01"]
RESTART_SECONDS = 2.0
FREEZE_SECONDS = 7.0


def fault_events(run, seed, load_seconds):
    """Kills or freezes a random instance every few seconds; two at once now and then."""
    source = random.Random(seed)
    kinds = [kill_entry, kill_control, freeze_entry, kill_two_entries]
    events = []
    at = 2.0
    while at < load_seconds - FREEZE_SECONDS - 4:
        kind = source.choice(kinds)
        victims = source.sample(range(len(run.entries)), 2)
        events.append((at, lambda kind=kind, victims=victims: kind(run, victims)))
        at += source.uniform(2, 6)
    return events


def _restart_later(process):
    process.kill()
    threading.Timer(RESTART_SECONDS, process.start).start()


def kill_entry(run, victims):
    _restart_later(run.entries[victims[0]])


def kill_two_entries(run, victims):
    for victim in victims:
        _restart_later(run.entries[victim])


def kill_control(run, victims):
    _restart_later(run.controls[victims[0] % len(run.controls)])


def freeze_entry(run, victims):
    """Longer than the failure detection, so that the others take the instance for dead and it returns."""
    process = run.entries[victims[0]].popen
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        threading.Timer(FREEZE_SECONDS, process.send_signal, [signal.SIGCONT]).start()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="folder for logs and records, kept after the run")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        run = scenario.Scenario(arguments.bin, arguments.keep or folder, arguments.seconds, FABRIC)
        result = run.run(lambda started: fault_events(started, arguments.seed, arguments.seconds))
    found = scenario.violations(result, scenario.SAFETY)
    result["violations"] = found
    print(json.dumps(result))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs a small system on loopback, kills and suspends processes, and checks the safety properties.

The fabric duplicates and drops packets. Broken flows and unknown outcomes are reported but allowed, because the
processes stop without a drain. Each count in scenario.SAFETY must be 0.
"""

import argparse
import json
import random
import signal
import sys
import tempfile
import threading

import scenario

FABRIC_ARGUMENTS = ["--duplicate=0.05", "--loss=0.01"]
RESTART_SECONDS = 2.0
SUSPEND_SECONDS = 7.0


def fault_events(run, seed, load_seconds):
    """Returns events that kill or suspend one or two random instances every 2 to 6 seconds."""
    generator = random.Random(seed)
    actions = [kill_entry, kill_control, suspend_entry, kill_two_entries]
    events = []
    time_offset = 2.0
    while time_offset < load_seconds - SUSPEND_SECONDS - 4:
        action = generator.choice(actions)
        targets = generator.sample(range(len(run.entries)), 2)
        events.append((time_offset, lambda action=action, targets=targets: action(run, targets)))
        time_offset += generator.uniform(2, 6)
    return events


def _restart_later(process):
    process.kill()
    threading.Timer(RESTART_SECONDS, process.start).start()


def kill_entry(run, targets):
    _restart_later(run.entries[targets[0]])


def kill_two_entries(run, targets):
    for target in targets:
        _restart_later(run.entries[target])


def kill_control(run, targets):
    _restart_later(run.controls[targets[0] % len(run.controls)])


def suspend_entry(run, targets):
    """Suspends an instance for longer than the failure detection timeout, so that it is declared dead and rejoins."""
    process = run.entries[targets[0]].popen
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        threading.Timer(SUSPEND_SECONDS, process.send_signal, [signal.SIGCONT]).start()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="directory for logs and records; kept after the run")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        run = scenario.Scenario(arguments.bin, arguments.keep or folder, arguments.seconds, FABRIC_ARGUMENTS)
        result = run.run(lambda started: fault_events(started, arguments.seed, arguments.seconds))
    violations = scenario.violations(result, scenario.SAFETY)
    result["violations"] = violations
    print(json.dumps(result))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

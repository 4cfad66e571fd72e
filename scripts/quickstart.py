"""Runs a small system on loopback with planned changes under load and checks its guarantees."""

import argparse
import json
import sys
import tempfile

import scenario

LOAD_SECONDS = 24
GUARANTEES = {
    "broken_flows": "an established flow survives a planned change",
    "no_answer": "a graceful shutdown interrupts no request",
    "late_work": "a draining upstream receives no new work after 3 s",
    "outcome_unknown": "a planned change leaves no outcome unknown",
    **scenario.SAFETY,
}


def planned_events(run, exit_codes):
    """Returns events that add an upstream, change both services, restart an entry instance and drain an upstream."""

    def restart_entry():
        exit_codes["entry_exit_code"] = run.entries[0].terminate()
        run.entries[0].start()

    def drain_upstream():
        exit_codes["drain_exit_code"] = run.upstreams["counter-2"].terminate()

    def change_services():
        run.system.apply_service({**scenario.EXPORT, "max_flow_idle_seconds": 200})
        run.system.apply_service(
            {**scenario.COUNTER, "clients": [{"client": "caller", "ceiling_permille": 500}]}
        )

    return [
        (7, change_services),
        (3, lambda: run.add_upstream("export-3", "export", "zone-a", False)),
        (12, restart_entry),
        (13, drain_upstream),
    ]


def print_text(result, violations):
    for name, guarantee in GUARANTEES.items():
        print(f"{result[name]:>6}  {name:<22} {guarantee}")
    print(f"flows {result['flows']}, requests {result['requests']}, answered {result['answered']}")
    print(f"broken flows {result['broken_flows']}")
    print(f"imbalance of flows, maximum over mean {result['imbalance_max_over_mean']}")
    kept = result["goodput_kept_in_flood"]
    print(f"buybacks retain {kept} of their goodput during a flood of {result['flood_requests']} lookups")
    print(f"refused as not run {result['not_run']}, {result['duration_seconds']} s")
    print("no promise was broken" if not violations else f"BROKEN: {violations}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--keep", help="directory for logs and records; kept after the run")
    arguments = parser.parse_args()
    exit_codes = {}
    with tempfile.TemporaryDirectory(prefix="lacewingwalk-") as folder:
        run = scenario.Scenario(arguments.bin, arguments.keep or folder, LOAD_SECONDS)
        result = run.run(lambda started: planned_events(started, exit_codes), with_flood=True)
    result.update(exit_codes)
    violations = scenario.violations(result, GUARANTEES)
    violations.update({name: code for name, code in exit_codes.items() if code != 0})
    if arguments.json:
        print(json.dumps(result))
    else:
        print_text(result, violations)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
